"""A target that turns a request away may ask for rest."""

import asyncio

from tests import plain_fleet, test_platform_path
from tests.fakes.plain import PlainTarget
from tests.plain_fleet import Fleet
from wisteriapulley.policy.circuit_breaker import MAX_OPEN_S

# What the users allow: so many requests from one instance between half a second
# after the answer and the end of the rest.
MOST_IN_REST = 2
TOLD_S = 0.5
REST_S = 2.0
CALLERS = 6
PAUSE_S = 0.05


def in_rest(arrivals):
    """Count the requests in the rest that the first of them was told."""
    told_s = arrivals[0]
    return sum(told_s + TOLD_S < at_s < told_s + REST_S for at_s in arrivals)


async def insist(ask, seconds):
    """Let several callers ask without a pause for a time; return the answers."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    answers = []

    async def one(caller):
        number = 0
        while loop.time() < until_s:
            number += 1
            answers.append(await ask(f"{caller}-{number}"))
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(one(caller) for caller in range(CALLERS)))
    return answers


class TestPlainTargets:
    def test_one_that_rests_gets_no_more_and_costs_no_caller(self, tmp_path):
        resting, other = PlainTarget(0), PlainTarget(1)

        async def scenario(fleet):
            resting.arrivals.clear()
            resting.rest = str(REST_S)

            async def told():
                await fleet.ask(0, b"told")
                return resting.turned_away

            await fleet.until(told)
            answers = await insist(
                lambda name: fleet.ask(0, name.encode()), REST_S - TOLD_S
            )
            assert in_rest(resting.arrivals) <= MOST_IN_REST
            assert {status for status, _ in answers} == {200}

        plain_fleet.play(Fleet(tmp_path, [resting, other]), scenario)

    def test_all_at_rest_refuse_at_once(self, tmp_path):
        targets = [PlainTarget(0), PlainTarget(1)]

        async def scenario(fleet):
            for target in targets:
                target.arrivals.clear()
                target.rest = str(REST_S)
            answers = await insist(lambda name: fleet.ask(0, name.encode()), REST_S / 2)
            assert all(in_rest(target.arrivals) <= MOST_IN_REST for target in targets)
            # Each target is told once; what was on its way then comes on top.
            sends = sum(target.turned_away for target in targets)
            assert sends <= len(targets) * CALLERS < len(answers)
            assert {status for status, _ in answers} == {503}
            assert all(0 < float(wait) for _, wait in answers)

        plain_fleet.play(Fleet(tmp_path, targets), scenario)

    def test_one_that_turns_all_away_without_a_word_costs_no_caller(self, tmp_path):
        """It looks empty, and would be asked first each time."""
        away, other = PlainTarget(0), PlainTarget(1)

        async def scenario(fleet):
            away.rest = ""

            async def told():
                await fleet.ask(0, b"told")
                return away.turned_away >= 2

            await fleet.until(told)
            before = away.turned_away
            answers = await insist(lambda name: fleet.ask(0, name.encode()), REST_S)
            most = REST_S / MAX_OPEN_S + CALLERS
            assert away.turned_away - before <= most < len(answers)
            assert {status for status, _ in answers} == {200}

        plain_fleet.play(Fleet(tmp_path, [away, other]), scenario)


class TestEngine:
    def test_gets_no_more_while_it_rests(self, tmp_path):
        async def scenario(whole):
            whole.engine.arrivals.clear()
            whole.engine.rest = str(REST_S)

            async def ask(name):
                status, _, _ = await whole.ask(id=f"request-{name}")
                return status

            answers = await insist(ask, REST_S)
            assert in_rest(whole.engine.arrivals) <= MOST_IN_REST
            assert set(answers) == {503}

        test_platform_path.play(tmp_path, scenario)

    def test_sidecar_that_is_turned_away_itself_calls_no_more(self, tmp_path):
        async def scenario(whole):
            engine = whole.engine
            engine.report_rest = str(REST_S)
            engine.report_times.clear()

            async def told():
                return engine.report_times

            await whole.until(told)
            await asyncio.sleep(REST_S)
            assert in_rest(engine.report_times) <= MOST_IN_REST
            # What it knew of the engine still holds.
            engine.report_rest = ""
            assert (await whole.ask())[0] == 200

        test_platform_path.play(tmp_path, scenario)
