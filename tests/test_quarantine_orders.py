"""Operators who look at what is quarantined, and lift it."""

from functools import partial
from types import SimpleNamespace

import msgspec
import pytest

from tests.fakes.links import LateLink
from tests.test_lost_leave import SHORT_S
from tests.test_operators import VALID_HEADERS, FakeService, send
from tests.test_platform_path import MAX_WAIT_S
from tests.test_suspect_feed import DIGEST, PART, QUARANTINED, Instance
from wisteriapulley import cli
from wisteriapulley.consensus.types import Members
from wisteriapulley.control import majority
from wisteriapulley.control.majority import confirm_delivery
from wisteriapulley.control.reports import QuarantineRow, QuarantineStatus
from wisteriapulley.operator_client import OperatorClient
from wisteriapulley.policy.fingerprint import log_name
from wisteriapulley.wire.handshake import MESSAGE_SET
from wisteriapulley.wire.messages import ModelNews, Suspect, SuspectNews

QUARANTINED_PART = SuspectNews((Suspect(PART, 0, ("6/f", "7/e", "8/d")),))
ROW = QuarantineRow("0a1b", "part", ("6/c", "7/b", "8/a"), 17)


class QuarantineService(FakeService):
    """A control service without a quorum that has quarantined a request and a part.

    Parameters
    ----------
    replying : str
        Node ids of the other instances that reply; "b" and "c" are voters beside "a".
    message_set : int
        Set of messages that the other instances know.
    """

    def __init__(self, replying="bc", message_set=MESSAGE_SET):
        super().__init__(has_quorum=False)
        self.replying = replying
        self.message_set = message_set
        self.publisher = self.instance = Instance()
        self.publisher.suspect_feed = self.instance.feed
        for news in (QUARANTINED, QUARANTINED_PART):
            self.instance.feed.observe(news, from_entry=True)

    async def confirm_delivery(self):
        members = Members(dict.fromkeys("abc", "disk"))
        await confirm_delivery("a", map(self.new_link, "bc"), members)

    def new_link(self, node_id):
        ways_back_s = (0.0,) if node_id in self.replying else ()
        publisher = SimpleNamespace(models_message=ModelNews)
        link = LateLink(publisher, ways_back_s=ways_back_s)
        link.peer = link.peer._replace(node_id=node_id, message_set=self.message_set)
        return link


class TestOperators:
    @pytest.fixture(autouse=True)
    def set_time_limit(self, monkeypatch):
        """Wait for as long as a busy machine needs, unless a test sets a limit."""
        set_limit = partial(monkeypatch.setattr, majority, "CONFIRM_TIMEOUT_S")
        set_limit(MAX_WAIT_S)
        return set_limit

    def request(self, service, method="get", digest=None, headers=VALID_HEADERS):
        path = f"/v1/quarantine/{log_name(digest)}" if digest else "/v1/quarantine"
        status, _, answer = send(service, b"", headers, method, path)
        return status, answer

    def kinds(self, answer):
        return [row["kind"] for row in answer["quarantined"]]

    def test_see_what_is_quarantined_by_its_name_in_logs(self):
        status, answer = self.request(QuarantineService())
        assert (status, self.kinds(answer)) == (200, ["request", "part"])
        names = [row["fingerprint"] for row in answer["quarantined"]]
        assert names == [DIGEST.hex(), log_name(PART)]

    def test_lift_one_for_all_instances(self):
        service = QuarantineService()
        instance = service.instance
        status, answer = self.request(service, "delete", PART)
        assert (status, self.kinds(answer)) == (200, ["request"])
        cleared = SuspectNews((Suspect(PART, 1, ()),))
        assert instance.entry.written[-1] == instance.sent_to_peers[-1] == cleared

    def test_resend_an_order(self):
        service = QuarantineService()
        for _ in range(2):
            assert self.request(service, "delete", PART)[0] == 200
        assert service.instance.sent_to_peers.count(QUARANTINED_PART) == 1

    @pytest.mark.parametrize("replying", ["b", "c", "bc"])
    def test_one_instance_that_does_not_reply_delays_nothing(self, replying):
        assert self.request(QuarantineService(replying), "delete", PART)[0] == 200

    @pytest.mark.parametrize("message_set", [MESSAGE_SET, 0])
    def test_lift_that_no_other_instance_has_is_not_acknowledged(
        self, message_set, set_time_limit
    ):
        # Guards against a lifted quarantine that is lost with one instance.
        set_time_limit(SHORT_S)
        service = QuarantineService("", message_set)
        status, answer = self.request(service, "delete", PART)
        assert (status, answer["error"]["code"]) == (503, 206)
        assert self.kinds(self.request(service)[1]) == ["request"]

    def test_resent_order_tells_the_other_instances_again(self, set_time_limit):
        set_time_limit(SHORT_S)
        service = QuarantineService("")
        assert self.request(service, "delete", PART)[0] == 503
        set_time_limit(MAX_WAIT_S)
        service.instance.sent_to_peers.clear()
        service.replying = "b"
        assert self.request(service, "delete", PART)[0] == 200
        cleared = SuspectNews((Suspect(PART, 1, ()),))
        assert service.instance.sent_to_peers == [cleared]

    def test_what_still_crashes_targets_is_quarantined_again(self):
        service = QuarantineService()
        self.request(service, "delete", PART)
        suspects = service.instance.feed.suspects
        for incarnation in ("g", "h", "i"):
            known = suspects.records[PART]
            suspects.record_part_crash(PART, incarnation, known, 9.0)
        assert self.kinds(self.request(service)[1]) == ["request", "part"]

    @pytest.mark.parametrize("method", ["get", "delete"])
    def test_need_a_token(self, method):
        service = QuarantineService()
        digest = PART if method == "delete" else None
        assert self.request(service, method, digest, {})[0] == 401
        assert len(service.instance.feed.quarantined()) == 2


class TestCommand:
    @pytest.fixture
    def requests(self, monkeypatch):
        """Answer all requests with one quarantined part; return what is asked."""
        requests = []

        def request(client, method, path, body=b""):
            requests.append((method, path))
            rows = () if method == "DELETE" else (ROW,)
            return msgspec.json.encode(QuarantineStatus(rows))

        monkeypatch.setattr(OperatorClient, "request", request)
        return requests

    def run(self, tmp_path, *arguments):
        (tmp_path / "token").write_text("t")
        options = ["--control", "127.0.0.1:1", "--token-file", str(tmp_path / "token")]
        return cli.main(["quarantine", *options, *arguments])

    def test_prints_what_is_quarantined(self, tmp_path, capsys, requests):
        assert self.run(tmp_path) == 0
        assert capsys.readouterr().out == "0a1b part: 3 ends, 17 s ago\n"
        assert requests == [("GET", "/v1/quarantine")]

    def test_lifts_one(self, tmp_path, capsys, requests):
        assert self.run(tmp_path, "--lift", "0a1b") == 0
        assert capsys.readouterr().out == "nothing is quarantined\n"
        assert requests == [("DELETE", "/v1/quarantine/0a1b")]
