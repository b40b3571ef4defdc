"""Weights in force that a control instance publishes."""

import asyncio
from types import SimpleNamespace

from tests.fakes.links import RecordingLink
from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES
from wisteriapulley.control.members import MemberTable
from wisteriapulley.control.publisher import Publisher
from wisteriapulley.control.service import ControlService
from wisteriapulley.control.state import ControlState
from wisteriapulley.routing import Engine, RoutingTable
from wisteriapulley.routing.table import Service
from wisteriapulley.settings import Address, ControlSettings
from wisteriapulley.wire import codec, messages
from wisteriapulley.wire.messages import ModelNews, ModelState, VersionAge


class Instance:
    """The publisher of one control instance, with one follower."""

    def __init__(self):
        settings = ControlSettings(
            node_id="10.0.0.1",
            failure_domain="z",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            wire_listen=Address("127.0.0.1", 0),
            data_folder="",
            operators_file="",
        )
        self.prefetched = []
        self.sent_to_peers = []
        self.state = ControlState()
        self.publisher = Publisher(
            settings,
            self.state,
            lambda *key: self.prefetched.append(key),
            self.sent_to_peers.append,
        )
        service = Service("s", engine=Engine("m"))
        self.publisher.table = RoutingTable(1, services=(service,))
        self.link = RecordingLink()
        self.publisher.followers.add(self.link)

    def published_versions(self):
        """Return the versions sent to the follower, newest last."""
        return [
            version.version
            for message in self.link.written
            if isinstance(message, messages.ModelNews)
            for state in message.models
            for version in state.named
        ]


def models_of(version, age_ms=0, assumed=False):
    named = (VersionAge(version, age_ms, assumed),)
    return ModelNews((ModelState("s", "m", named),))


class TestWeightsInForce:
    def test_update_of_peer_is_published_before_own_log(self):
        """Downloads delay the own log; requests would start on superseded weights."""
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=40))
        assert instance.published_versions() == [3]
        assert instance.prefetched == [("m", 3)]
        assert instance.sent_to_peers == []

    def test_own_log_does_not_prefetch_version_again(self):
        instance = Instance()
        instance.publisher.observe_models(models_of(3))
        instance.state.weights["m"] = 3
        instance.publisher.publish_changes()
        assert instance.prefetched == [("m", 3)]
        since = dict(instance.publisher.versions.versions_of("m"))
        instance.publisher.observe_models(models_of(3))
        assert dict(instance.publisher.versions.versions_of("m"))[3] <= since[3]
        assert set(instance.published_versions()) == {3}

    def test_version_of_own_log_is_sent_to_peers(self):
        instance = Instance()
        instance.state.weights["m"] = 2
        instance.publisher.publish_changes()
        (sent,) = instance.sent_to_peers
        assert sent.models[0].named[0].version == 2
        assert instance.published_versions() == [2]

    def test_update_that_tells_nothing_new_is_not_published(self):
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        instance.link.written.clear()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        instance.publisher.observe_models(models_of(3))
        assert instance.link.written == []

    def test_corrected_age_is_published(self):
        """Followers would hold the version before it for longer than allowed."""
        instance = Instance()
        instance.publisher.observe_models(models_of(3))
        instance.link.written.clear()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        assert instance.published_versions() == [3]
        assert instance.link.written[0].models[0].named[0].age_ms >= 500
        assert instance.prefetched == [("m", 3)]

    def test_follower_without_room_gets_new_version(self):
        """Nothing repeats it: requests would begin on the old one without end."""
        instance = Instance()
        instance.link.write_buffer_bytes = lambda: 2 * MAX_BUFFERED_BYTES
        instance.publisher.observe_models(models_of(3))
        assert instance.published_versions() == [3]


class TestRestoredVersions:
    """The disk does not hold when a version was accepted."""

    def restored(self):
        instance = Instance()
        instance.state.weights["m"] = 3
        instance.publisher.publish_restored()
        return instance

    def told(self, instance):
        """Return the version that a new follower or peer is told."""
        return instance.publisher.models_message().models[0].named[0]

    def test_restored_version_is_told_as_assumed(self):
        told = self.told(self.restored())
        assert told.assumed
        assert told.age_ms >= 3_600_000

    def test_assumed_age_goes_over_the_wire(self):
        message = models_of(3, age_ms=3_600_000, assumed=True)
        data = codec.encode(codec.Frame(codec.NO_ID, 0, message))
        assert codec.decode(data[codec.HEADER.size :]).message == message

    def test_restart_of_one_instance_ends_no_version_at_others(self):
        """Engines would refuse requests on the old version until they have loaded."""
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        instance.link.written.clear()
        instance.publisher.observe_models(models_of(3, age_ms=3_600_000, assumed=True))
        assert instance.link.written == []
        assert self.told(instance).age_ms < 3_000

    def test_age_that_a_peer_witnessed_replaces_the_assumed_one(self):
        instance = self.restored()
        instance.link.written.clear()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        assert instance.published_versions() == [3]
        assert not self.told(instance).assumed
        assert self.told(instance).age_ms < 3_000

    def test_own_state_does_not_make_the_assumed_time_a_witnessed_one(self):
        """It would count from now, and requests begin on the old version."""
        instance = self.restored()
        instance.publisher.publish_changes()
        assert self.told(instance).assumed
        assert self.told(instance).age_ms >= 3_600_000


class TestPeerThatConnects:
    """The log may bring it versions that were named while it was away."""

    def service(self, instance):
        """Return a control service without I/O."""
        members = MemberTable("10.0.0.1", 1, 1000, 1000)
        return SimpleNamespace(
            publisher=instance.publisher,
            members=members,
            member_links={},
            peer_links={},
            driver=SimpleNamespace(accepted_links={}),
            add_hosts=lambda hosts: None,
        )

    def assert_told_first(self, link):
        first = link.written[0]
        assert isinstance(first, messages.ModelNews)
        ((told,),) = [state.named for state in first.models]
        assert told.version == 3
        assert told.age_ms >= 500

    def test_peer_is_told_true_age_over_an_opened_link(self):
        """Its followers would hold the old version for as long as it was away."""
        instance, link = Instance(), RecordingLink("control")
        instance.publisher.observe_models(models_of(3, age_ms=500))
        asyncio.run(ControlService.send_state_to_peer(self.service(instance), link))
        self.assert_told_first(link)

    def test_peer_is_told_true_age_over_an_accepted_link(self):
        """The leader may send the log over the link that the peer opened."""
        instance, link = Instance(), RecordingLink("control")
        link.peer_id = link.peer.node_id
        instance.publisher.observe_models(models_of(3, age_ms=500))
        ControlService.link_opened(self.service(instance), link)
        self.assert_told_first(link)

    def test_older_versions_of_a_peer_are_not_prefetched(self):
        """They would take the links from the newest one."""
        instance = Instance()
        instance.state.weights["m"] = 3
        instance.publisher.publish_restored()
        named = tuple(VersionAge(n, 1000 * (5 - n)) for n in (1, 2, 3, 4))
        instance.publisher.observe_models(ModelNews((ModelState("s", "m", named),)))
        assert instance.prefetched == [("m", 4)]

    def test_own_log_does_not_replace_what_a_peer_told(self):
        """Its own log brings the version later, when the peer has told the age."""
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=5_500))
        instance.state.weights["m"] = 3
        instance.publisher.publish_changes()
        assert instance.publisher.models_message().models[0].named[0].age_ms >= 5_500


class TestLogOfAges:
    """The logs of two processes tell which of them believed which age, and why."""

    def lines(self, caplog, message):
        return [r for r in caplog.records if r.getMessage() == message]

    def test_source_of_a_version_is_logged(self, caplog):
        caplog.set_level("INFO")
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=40), "10.0.0.2")
        instance.state.weights["m"] = 4
        instance.publisher.publish_changes()
        named = self.lines(caplog, "weights named")
        assert [(r.version, r.source) for r in named] == [(3, "10.0.0.2"), (4, "log")]

    def test_corrected_age_is_logged_with_what_was_believed(self, caplog):
        caplog.set_level("INFO")
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=40), "10.0.0.2")
        instance.publisher.observe_models(models_of(3, age_ms=45), "10.0.0.3")
        instance.publisher.observe_models(models_of(3, age_ms=900), "10.0.0.3")
        (corrected,) = self.lines(caplog, "age of weights corrected")
        assert (corrected.age_ms, corrected.source) == (900, "10.0.0.3")
        assert corrected.believed_ms < 900
