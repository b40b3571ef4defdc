"""Routing tables: lookup, validation, and decoding of the platform's documents."""

import json
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriapulley.control.commands import PutRouting, PutWeights, encode
from wisteriapulley.control.control_api import pack_table, unpack_table
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.platform.documents import (
    decode_configuration,
    decode_heartbeat,
    decode_weights,
)
from wisteriapulley.routing import (
    Account,
    Route,
    RouteIndex,
    RouteKind,
    RoutingTable,
    Service,
    Split,
    check_table,
)
from wisteriapulley.wire import codec
from wisteriapulley.wire.messages import TargetNews

HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 16,
    "state": "ready",
    "sequence": 4,
    "cold-remaining-ms": 0,
    "models": [],
    "born": 0,
}
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def heartbeat(**changes):
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    return decode_heartbeat("i-1", body)


def route(name="r", host="a.example", prefix="/x/", **more):
    splits = more.pop("splits", (Split("s", 1),))
    kind = more.pop("kind", RouteKind.IDEMPOTENT)
    return Route(name, host, prefix, kind, splits, more.pop("timeout_ms", 1000), **more)


def table(*routes, accounts=()):
    return RoutingTable(1, routes, (Service("s"), Service("t")), accounts)


DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Hulo.example",
            "path-prefix": "/a/b/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "target-latency-ms": 405,
            "target-gap-ms": 400,
            "priority": 1,
            "traffic-split": [
                {"service": "m", "weight": 90},
                {"service": "p", "weight": 10},
            ],
            "attempts": 2,
            "public": False,
            "stream-resumption": True,
            "some-new-field": 1,
        }
    ],
    "services": [
        {
            "name": "m",
            "health-check-path": "/health",
            "max-connections": 344,
            "engine": {
                "slots": 16,
                "models": [{"name": "model", "pace": 1.0}],
                "stride": 5,
                "step_ms": 9.27,
                "per_seq_ms": 0.0232,
                "read_per_s": 20700.0,
                "layers": 16,
                "chunks": 64,
                "chunk-bytes": 32768,
            },
        },
        {"name": "o", "origin": "172.20.0.3:8006", "zone": "hall", "link-mbps": 9.9},
        {"name": "p", "health-check-path": "/health"},
    ],
    "limits": {"max-body-bytes": 5},
    "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 1}],
}


def text(**changes):
    return json.dumps({**DOCUMENT, **changes}).encode()


class TestLookup:
    def test_longest_prefix_wins(self):
        index = RouteIndex(table(route("short"), route("long", prefix="/x/y/")))
        assert index.find_route("a.example", "/x/y/z").name == "long"
        assert index.find_route("a.example", "/x/yy").name == "short"
        assert index.find_route("a.example", "/x/").name == "short"

    @pytest.mark.parametrize("path", ["/x", "/", "", "x/", "/xx/", "*"])
    def test_no_prefix(self, path):
        assert RouteIndex(table(route())).find_route("a.example", path) is None

    def test_other_host(self):
        assert RouteIndex(table(route())).find_route("b.example", "/x/") is None

    def test_account_of_a_key(self):
        index = RouteIndex(table(route(), accounts=(Account("t", ("k",)),)))
        assert index.find_account("k").name == "t"
        assert index.find_account("other") is None


class TestChecks:
    @pytest.mark.parametrize(
        "bad",
        [
            table(route(splits=(Split("unknown", 1),))),
            table(route(splits=(Split("s", 0), Split("t", 0)))),
            table(route(splits=())),
            table(route(timeout_ms=0)),
            table(route("one"), route("two")),
            table(accounts=(Account("a", ("k",)), Account("b", ("k",)))),
        ],
    )
    def test_invalid(self, bad):
        with pytest.raises(CatalogueError) as caught:
            check_table(bad)
        assert caught.value.code == ResultCode.CATALOGUE_ENTRY_INVALID

    def test_key_is_not_shown(self):
        bad = table(accounts=(Account("a", ("secret",)), Account("b", ("secret",))))
        with pytest.raises(CatalogueError) as caught:
            check_table(bad)
        assert "secret" not in str(caught.value)

    def test_valid(self):
        check_table(table(route(), route("other", prefix="/z/")))


class TestConfigurationText:
    def test_fields(self):
        got = decode_configuration(text())
        check_table(got)
        first = got.routes[0]
        assert first.host == "hulo.example"
        assert first.kind is RouteKind.STREAM and first.repeatable
        assert first.splits == (Split("m", 90), Split("p", 10))
        engine = got.engines()["m"]
        assert (engine.model, engine.slots, engine.stride) == ("model", 16, 5)
        assert engine.prefill_tokens_per_ms == pytest.approx(20.7)
        assert got.origin().address == "172.20.0.3:8006"
        assert got.origin().failure_domain == "hall"
        assert got.accounts == (Account("t", ("k1", "k2"), 1),)
        assert got.limits.body_bytes == 5

    def test_survives_the_log(self):
        got = decode_configuration(text())
        assert unpack_table(pack_table(got)) == got

    def test_homes_and_cold_targets(self):
        route = {**DOCUMENT["routes"][0], "home-regions": ["north"]}
        service = {**DOCUMENT["services"][2], "cold-start-s": 3.0, "cold-per-s": 26}
        account = {**DOCUMENT["tenants"][0], "home-regions": ["north", "south"]}
        services = [*DOCUMENT["services"][:2], service]
        got = decode_configuration(
            text(routes=[route], services=services, tenants=[account])
        )
        assert got.routes[0].homes == ("north",)
        assert got.accounts[0].homes == ("north", "south")
        assert got.services[2].cold_start_s == pytest.approx(3.0)
        assert got.services[2].cold_per_s == pytest.approx(26.0)
        assert unpack_table(pack_table(got)) == got

    def test_earlier_release_reads_a_table_without_newer_fields(self):
        """It rejects arrays that are longer than its own types."""
        stored = msgspec.msgpack.decode(
            zlib.decompress(pack_table(decode_configuration(text())))
        )
        _, routes, services, accounts = stored[:4]
        assert len(routes[0]) <= Route._fields.index("homes")
        assert len(accounts[0]) <= Account._fields.index("homes")
        cold = Service._fields.index("cold_start_s")
        assert all(len(service) <= cold for service in services)

    def test_cut_short_at_any_byte(self):
        whole = text()
        for end in range(len(whole)):
            with pytest.raises(CatalogueError):
                decode_configuration(whole[:end])

    @pytest.mark.parametrize(
        "changes",
        [
            {"version": "x"},
            {"routes": [{"name": "r"}]},
            {"routes": {}},
            {"routes": [{**DOCUMENT["routes"][0], "kind": "other"}]},
            {"tenants": [{"name": 1}]},
        ],
    )
    def test_wrong_types(self, changes):
        with pytest.raises(CatalogueError):
            decode_configuration(text(**changes))

    @given(st.binary(max_size=80))
    def test_garbage_is_a_coded_error(self, body):
        for decode in (decode_configuration, decode_weights):
            with pytest.raises(CatalogueError):
                decode(body)


class TestHeartbeatText:
    def test_fields(self):
        state = decode_heartbeat(
            "i-1",
            b'{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",'
            b'"slots":16,"state":"draining","cold-remaining-ms":12.5,"stage":"both",'
            b'"models":[{"name":"m","version":3,"adapters":[]}],"sequence":4}',
        )
        assert (state.target_id, state.service, state.leaving) == ("i-1", "s", True)
        assert (state.slots, state.cold_ms, state.version) == (16, 12, 3)
        assert (state.sequence, state.failure_domain) == (4, "z")

    def test_start_of_the_target(self):
        assert heartbeat(born=1_700_000_000_123).started_ms == 1_700_000_000_123
        assert heartbeat().started_ms == 0

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": None},
            {"service": 7},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:0"},
            {"address": "host:80"},
            {"address": "10.0.0.1:99999"},
            {"zone": None},
            {"slots": 0},
            {"slots": -3},
            {"slots": 1 << 40},
            {"slots": "16"},
            {"state": "sleeping"},
            {"state": None},
            {"sequence": -1},
            {"sequence": 1 << 60},
            {"sequence": 1.5},
            {"cold-remaining-ms": -1},
            {"cold-remaining-ms": 1e12},
            {"models": [{"name": "m", "version": -2}]},
            {"models": "m"},
            {"born": True},
            {"born": "1700"},
            {"born": -1},
        ],
    )
    def test_another_writers_fields_name_no_target(self, changes):
        with pytest.raises(CatalogueError) as raised:
            heartbeat(**changes)
        assert raised.value.code is ResultCode.HEARTBEAT_INVALID

    @pytest.mark.parametrize(
        "missing", ["service", "address", "zone", "slots", "state", "sequence"]
    )
    def test_missing_field(self, missing):
        fields = {k: v for k, v in HEARTBEAT.items() if k != missing}
        with pytest.raises(CatalogueError, match=missing):
            decode_heartbeat("i-1", json.dumps(fields).encode())

    @settings(max_examples=500)
    @given(st.binary(max_size=120))
    def test_garbage_is_a_coded_error(self, body):
        with pytest.raises(CatalogueError):
            decode_heartbeat("i-1", body)

    @settings(max_examples=500)
    @given(st.sampled_from(sorted(HEARTBEAT)), ANY_JSON)
    def test_any_value_is_read_or_refused_with_a_code(self, field, value):
        try:
            state = heartbeat(**{field: value})
        except CatalogueError as error:
            assert error.code is ResultCode.HEARTBEAT_INVALID
        else:
            frame = codec.Frame(1, 0, TargetNews((state,)))
            payload = codec.encode(frame)[codec.HEADER.size :]
            assert codec.decode(payload).message.targets == (state,)


class TestVersionsInTheLog:
    def put(self, state, version, content=b"c"):
        command = PutRouting(version, content, content)
        return state.apply(1, encode(command)).version

    def test_highest_wins_and_equal_changes_nothing(self):
        state = ControlState()
        assert self.put(state, 5, b"first") == 5
        assert self.put(state, 5, b"second") == 5
        assert self.put(state, 3, b"older") == 5
        assert state.routing.table == b"first"
        assert self.put(state, 9, b"newer") == 9

    def test_weights_only_grow(self):
        state = ControlState()
        state.apply(1, encode(PutWeights("m", 2)))
        assert state.apply(2, encode(PutWeights("m", 1))).version == 2

    def test_snapshot_holds_both(self):
        state = ControlState()
        self.put(state, 5)
        state.apply(2, encode(PutWeights("m", 2)))
        other = ControlState()
        other.restore(state.snapshot())
        assert other.routing == state.routing
        assert other.weights == {"m": 2}

    def test_snapshot_of_an_earlier_release_opens(self):
        # Such a snapshot has neither routing nor weights.
        state = ControlState()
        image = msgspec.msgpack.decode(state.snapshot())
        del image["routing"], image["weights"]
        ControlState().restore(msgspec.msgpack.encode(image))
