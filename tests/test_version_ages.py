"""Ages of versions of weights in messages that are read later than they are sent."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.test_control_publisher import Instance, models_of
from wisteriapulley.control.service import ControlService
from wisteriapulley.weights.version_ages import earliest_accepted_s
from wisteriapulley.wire import codec, messages
from wisteriapulley.wire.handshake import MESSAGE_SET, knows_model_query


def decode(frame):
    """Return the message of a frame after it went over the wire."""
    return codec.decode(codec.encode(frame)[codec.HEADER.size :]).message


class TestBound:
    """The age in a reply bounds the time of acceptance, however long the way was."""

    @pytest.mark.parametrize("way_s", [0.0, 0.02, 0.5, 3.0])
    @pytest.mark.parametrize("way_back_s", [0.0, 0.02, 0.5, 3.0])
    def test_is_not_after_the_true_time(self, way_s, way_back_s):
        accepted_s, asked_s = 100.0004, 107.0
        age_ms = int((asked_s + way_s - accepted_s) * 1000)
        bound_s = earliest_accepted_s(asked_s, age_ms)
        assert accepted_s - way_s - 0.002 < bound_s <= accepted_s


class TestModelQuery:
    def test_control_instance_replies_with_the_ages_of_now(self):
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=40))
        replies = []

        class Link:
            def post(self, message, reply_to=0):
                replies.append((message, reply_to))

        service = SimpleNamespace(publisher=instance.publisher)
        frame = codec.Frame(7, 0, messages.ModelQuery())
        asyncio.run(
            ControlService.receive_model_query(service, frame.message, Link(), frame)
        )
        ((reply, reply_to),) = replies
        assert reply_to == 7
        ((desired,),) = [state.named for state in reply.models]
        assert desired.version == 3
        assert desired.age_ms >= 40

    def test_goes_over_the_wire(self):
        assert decode(codec.Frame(7, 0, messages.ModelQuery())) == messages.ModelQuery()

    @pytest.mark.parametrize("message_set", [0, 1])
    def test_peer_of_an_earlier_release_does_not_know_it(self, message_set):
        assert not knows_model_query(messages.Hello(message_set=message_set))
        assert knows_model_query(messages.Hello(message_set=MESSAGE_SET))
