"""What a control instance tells of weights that are in force."""

from tests.fakes.links import WrittenLink
from wisteriapulley.control.publisher import Publisher
from wisteriapulley.control.state import ControlState
from wisteriapulley.routing import Engine, RoutingTable
from wisteriapulley.routing.table import Service
from wisteriapulley.settings import Address, ControlSettings
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import ModelNews, ModelState, VersionAge


class Instance:
    """One instance's news, with one follower."""

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
        self.fetched = []
        self.told = []
        self.state = ControlState()
        self.news = Publisher(
            settings,
            self.state,
            lambda *key: self.fetched.append(key),
            self.told.append,
        )
        service = Service("s", engine=Engine("m"))
        self.news.table = RoutingTable(1, services=(service,))
        self.link = WrittenLink()
        self.news.followers.add(self.link)

    def named(self):
        """Return the versions that the follower was told of, newest last."""
        return [
            version.version
            for message in self.link.taken
            if isinstance(message, messages.ModelNews)
            for state in message.models
            for version in state.named
        ]


def news_of(version, age_ms=0):
    return ModelNews((ModelState("s", "m", (VersionAge(version, age_ms),)),))


class TestWeightsInForce:
    def test_word_of_another_instance_comes_before_the_own_log(self):
        """Load: the log is late behind copies; requests begin on replaced weights."""
        instance = Instance()
        instance.news.observe_models(news_of(3, age_ms=40))
        assert instance.named() == [3]
        assert instance.fetched == [("m", 3)]
        assert instance.told == []

    def test_own_log_brings_no_second_word(self):
        instance = Instance()
        instance.news.observe_models(news_of(3))
        instance.state.weights["m"] = 3
        instance.news.publish_changes()
        assert instance.fetched == [("m", 3)]
        since = dict(instance.news.versions.versions_of("m"))
        instance.news.observe_models(news_of(3))
        assert dict(instance.news.versions.versions_of("m"))[3] <= since[3]
        assert set(instance.named()) == {3}

    def test_what_the_own_log_brings_is_told_to_the_others(self):
        instance = Instance()
        instance.state.weights["m"] = 2
        instance.news.publish_changes()
        (told,) = instance.told
        assert told.models[0].named[0].version == 2
        assert instance.named() == [2]

    def test_older_word_changes_nothing(self):
        instance = Instance()
        instance.news.observe_models(news_of(3))
        instance.link.taken.clear()
        instance.news.observe_models(news_of(3, age_ms=500))
        assert instance.link.taken == []
