"""The operator of a soak: writes configurations that change everything."""

import dataclasses

import soak_configuration
import soak_targets
import trio

# These routes are in each configuration, though moved and with other timeouts.
FIRST_ROUTES = (
    soak_configuration.Route('get', 'desk', 'idempotent'),
    soak_configuration.Route('post', 'desk'),
    soak_configuration.Route('stream', 'llm', 'streaming'),
)
PLAIN_SERVICES = ('desk', 'shop')
ENGINE = {
    'slots': 16,
    'models': [{'name': soak_targets.MODEL, 'weights_mb': 1.0}],
    'weights_mb': 10.0,
    'adapter_slots': soak_targets.ADAPTER_SLOTS,
    'loads_per_s': 10.0,
}
SERVICES = (
    {'name': 'llm', 'engine': ENGINE},
    *({'name': name} for name in PLAIN_SERVICES),
)
KEY_COUNT = 2
MAX_ADDED_ROUTES = 4
TIMEOUTS_MS = (400, 800, 2500)


class Operator:
    """Writes one configuration after the other.

    :ivar history: all configurations, in the order of their versions
    """

    def __init__(self, store, rng):
        self._store = store
        self._rng = rng
        self._routes_by_name = {each.name: each for each in FIRST_ROUTES}
        self._dropped = ['never-added']
        self._keys = [f'key-{number}' for number in range(KEY_COUNT)]
        self._withdrawn = ['key-unknown']
        self._version = 0
        self._added_count = 0
        self.history = []

    def write(self):
        """Write the configuration, with a version of its own."""
        self._version += self._rng.randint(1, 3)
        written = soak_configuration.Configuration(
            self._version,
            dict(self._routes_by_name),
            SERVICES,
            tuple(self._keys),
            trio.current_time(),
        )
        self._store.put('config', 'main', written.fields())
        self.history.append(written)

    def change(self):
        """Write a changed configuration; return what was changed."""
        change = self._rng.choice(
            (
                self._add_route,
                self._add_route,
                self._drop_route,
                self._move_route,
                self._change_keys,
                self._change_timeout,
            )
        )
        description = change()
        self.write()
        return f'version {self._version}, {description}'

    def draw_request(self, rng):
        """Return a route and a key, which need not be configured."""
        added = list(self._routes_by_name)[len(FIRST_ROUTES) :]
        names = [each.name for each in FIRST_ROUTES]
        route = rng.choice([*names, *names, *added, *self._dropped[-2:]])
        return route, rng.choice([*self._keys * 3, *self._withdrawn[-2:]])

    def _add_route(self):
        added = list(self._routes_by_name)[len(FIRST_ROUTES) :]
        if len(added) == MAX_ADDED_ROUTES:
            return self._drop_route()
        name = f'added-{self._added_count}'
        self._added_count += 1
        service = self._rng.choice(PLAIN_SERVICES)
        self._routes_by_name[name] = soak_configuration.Route(name, service)
        return f'{name} added'

    def _drop_route(self):
        added = list(self._routes_by_name)[len(FIRST_ROUTES) :]
        if not added:
            return self._add_route()
        name = self._rng.choice(added)
        del self._routes_by_name[name]
        self._dropped.append(name)
        return f'{name} dropped'

    def _plain_route(self):
        names = [n for n in self._routes_by_name if n != 'stream']
        return self._routes_by_name[self._rng.choice(names)]

    def _move_route(self):
        route = self._plain_route()
        others = [each for each in PLAIN_SERVICES if each != route.service]
        return self._replace(route, service=self._rng.choice(others))

    def _change_timeout(self):
        route = self._plain_route()
        return self._replace(route, timeout_ms=self._rng.choice(TIMEOUTS_MS))

    def _replace(self, route, **changes):
        self._routes_by_name[route.name] = dataclasses.replace(
            route, **changes
        )
        return f'{route.name} with {changes}'

    def _change_keys(self):
        key = self._keys.pop(0)
        number = KEY_COUNT + len(self._withdrawn)
        self._keys.append(f'key-{number}')
        self._withdrawn.append(key)
        return f'{key} replaced'
