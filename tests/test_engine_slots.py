"""The queue of places in front of one engine, and the clock of its passes."""

import random

import pytest

from wisteriapulley.policy.batch_steps import BatchStepClock
from wisteriapulley.policy.engine_slots import MAX_HOLD_MS, EngineSlots, SlotRequest
from wisteriapulley.routing import Engine

ENGINE = Engine("m", 16, 5, 9.27, 0.0232, 20.7)


def slot_request(number, tokens=900, priority=1, wait_ms=400.0, owner="e", answer=90):
    return SlotRequest(f"r{number}", owner, tokens, answer, priority, wait_ms)


def open_slots(engine=ENGINE):
    places = EngineSlots(engine)
    places.open = True
    return places


class TestPassClock:
    def test_idle_engine_begins_at_once(self):
        clock = BatchStepClock()
        clock.advance(1000.0, 46.0, 0)
        assert clock.first_event_ms(207, 20.7, 46.0, 1000.0) == pytest.approx(56.0)

    def test_waits_for_the_pass_in_progress(self):
        clock = BatchStepClock()
        clock.advance(0.0, 46.0, 0)
        clock.add(50.0)
        clock.advance(1.0, 46.0, 1)
        # The pass reads 50 ms and takes 46 ms of steps; 86 of 96 ms are left.
        assert clock.first_event_ms(207, 20.7, 46.0, 10.0) == pytest.approx(142.0)

    def test_long_pause_does_not_loop(self):
        clock = BatchStepClock()
        clock.advance(0.0, 1.0, 1)
        clock.advance(1e9, 1.0, 1)
        assert clock.step_end_ms >= 1e9


class TestPlaces:
    def test_closed_denies_at_once(self):
        assert EngineSlots(ENGINE).request_slot(slot_request(1), 0.0).denied

    def test_never_more_than_the_limit(self):
        places = open_slots()
        for number in range(40):
            places.request_slot(
                slot_request(number, tokens=1, wait_ms=5000.0), number * 100.0
            )
        assert len(places.grants) == places.max_grants
        assert places.queue

    def test_long_prompts_at_once_are_not_all_admitted(self):
        # Load: a burst of long prompts at an empty engine. Sixteen places are
        # free, but the last of sixteen prompts would be read after 1.5 s.
        places = open_slots()
        verdicts = [
            places.request_slot(slot_request(n, tokens=2000), 0.0) for n in range(16)
        ]
        granted = sum(v.granted for v in verdicts)
        assert 1 <= granted <= 4
        assert all(v.denied and v.retry_ms >= 50 for v in verdicts if not v.granted)

    def test_released_place_goes_to_the_most_urgent(self):
        places = open_slots(ENGINE._replace(slots=1))
        for number in range(2):
            assert places.request_slot(
                slot_request(number, 1, wait_ms=9000.0), 0.0
            ).granted
        places.mean_hold_ms = 100.0
        assert not places.request_slot(slot_request(2, 1, 1, 9000.0), 0.0).denied
        assert not places.request_slot(slot_request(3, 1, 0, 9000.0), 0.0).denied
        places.release("r0", 200.0)
        assert [v.request_id for v in places.advance(200.0) if v.granted] == ["r3"]

    def test_waiting_ends_when_it_is_too_late(self):
        places = open_slots(ENGINE._replace(slots=1))
        places.mean_hold_ms = 10.0
        for number in range(2):
            places.request_slot(slot_request(number, 1), 0.0)
        assert not places.request_slot(slot_request(2, 1), 0.0).denied
        assert list(places.advance(100.0)) == []
        late = list(places.advance(399.0))
        assert [(v.request_id, v.denied) for v in late] == [("r2", True)]

    def test_closing_denies_what_waits(self):
        places = open_slots(ENGINE._replace(slots=1))
        places.mean_hold_ms = 10.0
        for number in range(3):
            places.request_slot(slot_request(number, 1), 0.0)
        places.close()
        assert [v.denied for v in places.advance(1.0)] == [True]

    def test_requests_wait_for_an_engine_that_loads(self):
        # Load: engines that come back after a loss of all, and callers that ask
        # while they load.
        places = EngineSlots(ENGINE)
        places.opens_at_ms = 100.0
        first = places.request_slot(slot_request(1, 200), 0.0)
        assert not first.granted and not first.denied
        # All that wait are read at once: the last of them would come too late.
        verdicts = [
            places.request_slot(slot_request(n, 1500), 0.0) for n in range(2, 8)
        ]
        assert 1 <= sum(not v.denied for v in verdicts) <= 4
        assert list(places.advance(90.0)) == []
        places.open, places.opens_at_ms = True, None
        granted = [v.request_id for v in places.advance(110.0) if v.granted]
        assert granted[0] == "r1" and len(granted) >= 2

    def test_engine_that_opens_too_late_is_not_waited_for(self):
        places = EngineSlots(ENGINE)
        places.opens_at_ms = 350.0
        assert places.request_slot(slot_request(1, 200), 0.0).denied
        places.opens_at_ms = 100.0
        assert not places.request_slot(slot_request(2, 200), 0.0).denied
        # The load failed: what waits is told so at once.
        places.opens_at_ms = None
        assert [v.denied for v in places.advance(50.0)] == [True]

    def test_before_a_change_only_what_ends_by_then(self):
        # Load: an engine that is to load weights in a second, and a mix of short
        # and long answers.
        places = open_slots()
        places.closes_at_ms = 1000.0
        short = places.request_slot(slot_request(1, 200, answer=10), 0.0)
        long = places.request_slot(slot_request(2, 200, answer=250), 0.0)
        assert (short.granted, long.denied) == (True, True)
        places.closes_at_ms = None
        assert places.request_slot(slot_request(3, 200, answer=250), 0.0).granted

    def test_late_request_gets_only_what_new_ones_leave(self):
        # Load: callers that were refused come back while new ones come.
        places = open_slots()
        number = 0
        while len(places.grants) < places.max_grants * 0.7:
            places.request_slot(slot_request(number, 1, wait_ms=9000.0), 0.0)
            number += 1
        late = slot_request("late", 1)._replace(late=True)
        assert places.request_slot(late, 0.0).denied
        assert places.request_slot(slot_request("new", 1), 0.0).granted
        places.release_owner("e")
        assert places.request_slot(late, 0.0).granted

    def returned(self, count, wait_ms=3000.0):
        """Ask for late requests of 1,000 tokens, all at the same moment."""
        places = open_slots()
        late = [
            slot_request(n, 1000, 101, wait_ms)._replace(late=True)
            for n in range(count)
        ]
        return places, [places.request_slot(request, 0.0) for request in late]

    def test_cut_streams_come_back_at_once(self):
        """Load: a loss of all cut 80 streams; eight come back to each of ten engines.

        Their prompts take 0.4 s to read: most were refused while places were free.
        """
        places, verdicts = self.returned(8)
        assert not any(v.denied for v in verdicts)
        granted = sum(v.granted for v in verdicts)
        assert 1 <= granted <= 4
        for step in range(1, 50):
            granted += sum(v.granted for v in places.advance(step * 20.0))
        assert granted == 8

    def test_new_request_is_in_time_beside_those_that_came_back(self):
        places, _ = self.returned(8)
        new = slot_request("new", 1000)
        assert places.request_slot(new, 10.0).granted

    def test_late_requests_beyond_the_room_are_refused_at_once(self):
        places, verdicts = self.returned(30)
        denied = sum(v.denied for v in verdicts)
        assert denied == 30 - sum(not v.denied for v in verdicts) >= 17
        assert len(places.grants) + len(places.queue) < places.max_grants * 0.75

    def test_late_request_that_waits_gives_way_to_new_ones(self):
        places, _ = self.returned(8)
        number = 0
        while len(places.grants) < places.max_grants * 0.7:
            places.request_slot(slot_request(f"new{number}", 1, wait_ms=9000.0), 0.0)
            number += 1
        assert places.queue
        denied = [v for v in places.advance(1.0) if v.denied]
        assert denied and not places.queue

    def test_weights_serve_until_what_begins_would_begin_too_late(self):
        """Load: a second version is named while the first is copied.

        For seconds no version may serve then, and each tenth of a second that the
        older one is given up too soon is lost to all callers.
        """
        places = open_slots()
        places.weights_end_ms = 1000.0
        short, long = slot_request("short", 200), slot_request("long", 3000)
        assert places.request_slot(short, 600.0).granted
        assert places.request_slot(long, 600.0).denied
        assert places.request_slot(slot_request("last", 200), 800.0).denied

    def test_request_does_not_wait_beyond_the_end_of_the_weights(self):
        places = open_slots(ENGINE._replace(slots=1))
        places.mean_hold_ms = 10.0
        places.weights_end_ms = 500.0
        for number in range(2):
            assert places.request_slot(slot_request(number, 1), 0.0).granted
        assert not places.request_slot(slot_request(2, 1), 0.0).denied
        assert [v.denied for v in places.advance(300.0)] == [True]

    def test_longest_prompt_is_not_refused_for_its_length(self):
        # Load: few requests, one of them with a prompt that takes longer to read
        # than its objective leaves.
        places = open_slots()
        longest = slot_request(1, tokens=8000)
        assert places.first_event_ms(8000, 0.0) > longest.wait_ms
        assert places.request_slot(longest, 0.0).granted

    def test_lost_entry_gives_its_places_back(self):
        places = open_slots()
        for number in range(5):
            places.request_slot(slot_request(number, 1, owner="gone"), 0.0)
        places.release_owner("gone")
        assert not places.grants

    def test_forgotten_place_is_taken_back(self):
        places = open_slots()
        places.request_slot(slot_request(1, 1), 0.0)
        list(places.advance(MAX_HOLD_MS + 1))
        assert not places.grants

    @pytest.mark.parametrize("seed", range(5))
    def test_replayed_overload(self, seed):
        """Load: three times what an engine carries, for ten seconds.

        A place is never granted twice, the limit holds at each moment, and every
        request gets a verdict within its time.
        """
        rng = random.Random(seed)
        places = open_slots()
        pending: dict[str, float] = {}
        ends: list[tuple[float, str]] = []
        granted: set[str] = set()

        def take(verdicts, now):
            for verdict in verdicts:
                pending.pop(verdict.request_id, None)
                if verdict.granted:
                    assert verdict.request_id not in granted
                    granted.add(verdict.request_id)
                    ends.append((now + rng.uniform(300, 3000), verdict.request_id))

        for step in range(500):
            now = step * 20.0
            for end in [e for e in ends if e[0] <= now]:
                ends.remove(end)
                places.release(end[1], now)
            take(places.advance(now), now)
            for extra in range(rng.choice((0, 1, 1))):
                request = slot_request(f"{step}-{extra}", rng.randint(50, 3000))
                pending[request.request_id] = now
                verdict = places.request_slot(request, now)
                if verdict.granted or verdict.denied:
                    take([verdict], now)
            assert len(places.grants) <= places.max_grants
            assert all(now - since <= 420 for since in pending.values())
        assert len(granted) > 50
