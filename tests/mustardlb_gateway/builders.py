"""Factories for domain objects in tests."""

from mustardlb_gateway import domain

MODEL = 'base'


def make_engine(**changes):
    fields = {
        'slots': 8,
        'kv_capacity': 100_000,
        'memory_mb': 1000.0,
        'adapter_slots': 3,
        'loads_per_second': 4.0,
        'models_by_name': {MODEL: domain.ModelSpec(MODEL, 700.0, 1.0, 50.0)},
    }
    return domain.EngineSpec(**(fields | changes))


def make_service(name='llm', engine=True, **changes):
    return domain.Service(
        name, 100, make_engine() if engine else None, **changes
    )


def make_target(target_id='t1', service='llm', resident=(), **changes):
    fields = {
        'target_id': target_id,
        'service': service,
        'host': '127.0.0.1',
        'port': 1,
        'data_centre': 'a',
        'state': domain.TargetState.READY,
        'slots': 8,
        'incarnation': 1,
        'resident': {adapter(''): 1} | {adapter(name): 1 for name in resident},
    }
    return domain.Target(**(fields | changes))


def adapter(name):
    return domain.AdapterName(MODEL, name)


def make_call(name='a1', prompt=1000, parts=(), **changes):
    fields = {
        'request_id': 'r1',
        'method': b'POST',
        'path': b'/x/',
        'host': 'h',
        'headers': [],
        'body': b'',
        'key': 'k',
        'client_timeout': 5.0,
        'adapter': adapter(name) if name is not None else None,
        'tokens': (prompt, 10),
        'prompt_parts': tuple(
            domain.PromptPart(part, tokens) for part, tokens in parts
        ),
    }
    return domain.Call(**(fields | changes))


def make_route(name='r', path_prefix='/x/', service='llm', **changes):
    fields = {
        'name': name,
        'host': 'h',
        'path_prefix': path_prefix,
        'kind': domain.RouteKind.IDEMPOTENT,
        'services': (domain.WeightedService(service, 1),),
        'timeout': 2.0,
        'latency_objective': 0.2,
        'max_attempts': 2,
    }
    return domain.Route(**(fields | changes))


def make_account(name='acme', **changes):
    return domain.Account(name, frozenset({f'key-{name}'}), **changes)


def make_configuration(version=1, routes=None, accounts=None, services=None):
    routes = (make_route(),) if routes is None else tuple(routes)
    services = [make_service()] if services is None else services
    return domain.Configuration(
        version,
        routes,
        {service.name: service for service in services},
        accounts and {each.name: each for each in accounts},
        domain.RequestLimits(),
    )
