"""Builds the targets' part of a node from settings and the shared state."""

from collections import abc

from mustardlb import decoded_configuration
from mustardlb import engine
from mustardlb import routes
from mustardlb import settings as settings_module
from mustardlb import weight_store
from mustardlbd import _owners
from mustardlbd import _shared_state
from mustardlbd import _target_context
from mustardlbd import _targets

# The kind of slices under which owners of targets act.
SLICE_KIND = 'target'


def build(
    settings: settings_module.NodeSettings,
    state: _shared_state.SharedState,
    directory: abc.Callable[[], decoded_configuration.Configuration],
    incarnation: int,
) -> _targets.Targets:
    """Build the targets' part; the caller registers and runs it."""
    fleet = _target_context.TargetContext(
        vm_id=settings.vm_id,
        now=state.now,
        members=state.members,
        owners=state.owners,
        may_act=lambda key: state.may_act(SLICE_KIND, _owners.slice_of(key)),
        check_fresh=state.check_fresh,
        call=state.call,
        targets=lambda: directory().targets_by_name,
        engine_of=_engines(),
        transit_report=_transit_report(settings.weight_store),
    )
    return _targets.Targets(fleet, incarnation)


def _engines() -> abc.Callable[[routes.Target], engine.Engine]:
    """Keep one client for each engine's URL."""
    clients_by_url: dict[str, engine.HttpEngine] = {}

    def engine_of(target: routes.Target) -> engine.Engine:
        client = clients_by_url.get(target.url)
        if client is None:
            client = clients_by_url[target.url] = engine.HttpEngine(target.url)
        return client

    return engine_of


def _transit_report(
    endpoint: settings_module.Endpoint | None,
) -> abc.Callable[[], abc.Awaitable[weight_store.TransitReport]]:
    if endpoint is not None:
        store = weight_store.HttpWeightStore(
            endpoint.url, endpoint.timeout, endpoint.authority
        )
        return store.transit_report

    async def unavailable() -> weight_store.TransitReport:
        raise weight_store.WeightStoreUnavailable('no weight store is set')

    return unavailable
