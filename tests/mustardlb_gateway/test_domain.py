import builders
import pytest

from mustardlb_gateway import domain


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/b/c', 'deep'),
        ('/a/b/', 'deep'),
        ('/a/bc', 'shallow'),
        ('/a', None),
        ('/b/', None),
    ],
)
def test_route_with_longest_matching_prefix_is_found(path, name):
    configuration = builders.make_configuration(
        routes=[
            builders.make_route('shallow', '/a/'),
            builders.make_route('deep', '/a/b/'),
            builders.make_route('elsewhere', '/', host='other'),
        ]
    )
    found = configuration.find_route('H', path)
    assert (found and found.name) == name


@pytest.mark.parametrize(
    ('kind', 'is_resumable', 'may_repeat'),
    [
        (domain.RouteKind.IDEMPOTENT, False, True),
        (domain.RouteKind.NON_IDEMPOTENT, True, False),
        (domain.RouteKind.STREAM, False, False),
        (domain.RouteKind.STREAM, True, True),
    ],
)
def test_only_the_kind_and_resumability_permit_repeats(
    kind, is_resumable, may_repeat
):
    route = builders.make_route(kind=kind, is_resumable=is_resumable)
    assert route.may_repeat == may_repeat


def test_account_is_found_by_each_of_its_api_keys():
    account = domain.Account('acme', frozenset({'k1', 'k2'}))
    configuration = builders.make_configuration(accounts=[account])
    assert configuration.account_by_key == {'k1': account, 'k2': account}
