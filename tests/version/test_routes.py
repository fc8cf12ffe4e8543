from guavawalk.version.routes import (
    CallerLimits,
    Route,
    RouteKind,
    ServiceShare,
    build_route_table,
    find_route,
)


def route(name, prefix, kind=RouteKind.SAFE, resumable=False, host="a.example"):
    shares = (ServiceShare("s", 1.0),)
    return Route(name, host, prefix, kind, shares, 1.0, 0.2, resumable=resumable)


def table(*routes):
    return build_route_table(3, routes, (), CallerLimits(), None)


class TestFindRoute:
    def test_longest_prefix_wins_in_any_order(self):
        short, long = route("short", "/a/"), route("long", "/a/b/")
        for routes in ((short, long), (long, short)):
            assert find_route(table(*routes), "a.example", "/a/b/c").name == "long"
            assert find_route(table(*routes), "a.example", "/a/c").name == "short"

    def test_prefix_ends_at_a_slash(self):
        assert find_route(table(route("one", "/a/")), "a.example", "/ab/") is None
        assert find_route(table(route("one", "/a/")), "a.example", "/a") is None

    def test_case_and_port_of_the_host_are_ignored(self):
        matched = find_route(table(route("one", "/a/")), "A.Example:8080", "/a/x")
        assert matched.name == "one"

    def test_no_route_for_another_host(self):
        assert find_route(table(route("one", "/a/")), "b.example", "/a/x") is None


class TestRoute:
    def test_safe_and_resumable_stream_routes_are_idempotent(self):
        assert route("", "/", RouteKind.SAFE).is_idempotent
        assert route("", "/", RouteKind.STREAM, resumable=True).is_idempotent
        assert not route("", "/", RouteKind.STREAM).is_idempotent
        assert not route("", "/", RouteKind.UNSAFE).is_idempotent
        assert not route("", "/", RouteKind.UNSAFE, resumable=True).is_idempotent
