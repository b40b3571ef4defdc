"""Followers of a control instance that has started and may lack newer versions."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.fakes.links import RecordingLink
from tests.test_control_publisher import Instance
from wisteriapulley.control import publisher as publisher_module
from wisteriapulley.control.commands import PutWeights, encode
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.wire import codec, messages


class FollowingLink(RecordingLink):
    """Link of a follower that keeps what is posted and written to it."""

    def post(self, message, reply_to=0):
        self.written.append(message)


def restarted():
    """Return an instance whose disk holds version 1 of a model."""
    instance = Instance()
    instance.state.weights["m"] = 1
    instance.publisher.publish_restored()
    return instance


def follow(instance, barrier):
    """Return the versions in each message of models to a new follower."""

    async def run():
        link = FollowingLink()
        members = SimpleNamespace(node_ids=lambda: ())
        instance.publisher.driver = SimpleNamespace(
            read_barrier=barrier, replica=SimpleNamespace(members=members)
        )
        frame = codec.Frame(1, 0, messages.Follow())
        await instance.publisher.answer_follow(frame.message, link, frame)
        return [
            [desired.version for desired in message.models[0].named]
            for message in link.written
            if isinstance(message, messages.ModelNews)
        ]

    return asyncio.run(run())


async def confirm():
    """Confirm what is in force."""


async def fail():
    """Find no quorum."""
    raise WisteriapulleyError(ResultCode.NO_QUORUM, "none")


async def never():
    """Wait for a quorum that never answers."""
    await asyncio.Event().wait()


class TestVersionNamedWhileItWasAway:
    @pytest.mark.parametrize("failures", [0, 3])
    def test_follower_never_takes_the_older_one_for_the_newest(self, failures):
        """The read barrier brings the newer one, once a leader is known."""
        instance = restarted()
        left = [fail] * failures

        async def bring():
            if left:
                await left.pop()()
            instance.state.apply(1, encode(PutWeights("m", 2)), None)

        told = follow(instance, bring)
        assert told
        assert all(versions[-1] == 2 for versions in told)


class TestWithoutQuorum:
    """Its followers serve by what it knows, rather than not at all."""

    @pytest.mark.parametrize("barrier", [fail, never])
    def test_follower_is_told_once_no_quorum_answers(self, monkeypatch, barrier):
        monkeypatch.setattr(publisher_module, "CONFIRM_TIMEOUT_S", 0.05)
        assert follow(restarted(), barrier)[-1] == [1]


class TestConfirmedInstance:
    def test_follower_need_not_wait_for_a_quorum(self, monkeypatch):
        monkeypatch.setattr(publisher_module, "CONFIRM_TIMEOUT_S", 0.05)
        instance = restarted()
        follow(instance, confirm)
        assert follow(instance, never) == [[1]]
