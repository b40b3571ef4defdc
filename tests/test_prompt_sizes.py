"""Sizes of prompts by route."""

import asyncio
import logging

from tests.test_direct_dispatch import FakeCaller, dispatcher_without_targets
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.policy.prompt_sizes import MAX_PROMPTS, MIN_PROMPTS, PromptSizes


def sizes_of(prompts):
    sizes = PromptSizes()
    for prompt_tokens in prompts:
        sizes.record(prompt_tokens)
    return sizes


class TestPromptSizes:
    def test_nothing_is_large_while_few_prompts_are_known(self):
        sizes = sizes_of([10] * (MIN_PROMPTS - 1))
        assert sizes.quantile(0.9) == 0
        assert not sizes.is_large(1000)

    def test_large_is_relative_to_the_route(self):
        short, long = sizes_of(range(1, 101)), sizes_of(range(1000, 1100))
        assert short.is_large(95) and not short.is_large(85)
        assert long.is_large(1095) and not long.is_large(1085)

    def test_quantile(self):
        sizes = sizes_of(range(101))
        assert [sizes.quantile(q) for q in (0.0, 0.5, 0.95, 1.0)] == [0, 50, 95, 100]

    def test_equal_prompts_are_not_large(self):
        assert not sizes_of([500] * MAX_PROMPTS).is_large(500)

    def test_old_prompts_are_forgotten(self):
        sizes = sizes_of([9000] * MAX_PROMPTS + [10] * MAX_PROMPTS)
        assert sizes.quantile(1.0) == 10
        assert len(sizes.recent) == len(sizes.ordered) == MAX_PROMPTS


class FullAllocator:
    """Has no slot for any request."""

    async def allocate(self, *arguments, **options):
        reasons = "6 slot_wait"
        return Refusal(RefusalKind.OVERLOADED, 0.2, "no slot in time", reasons)

    def open_fraction(self, *arguments):
        return 1.0


class TestRefusedRequests:
    """The log and the metrics tell which sizes are refused, and why."""

    def refuse(self, prompts):
        async def run():
            dispatcher = dispatcher_without_targets()
            dispatcher.allocator = FullAllocator()
            now_s = asyncio.get_running_loop().time()
            for number, prompt in enumerate(prompts):
                request = CallerRequest(
                    f"q{number}", "POST", "/a/", "h", "/a/", (), b"", "k", now_s, 5.0
                )._replace(prompt_tokens=prompt, answer_tokens=50)
                assert await dispatcher.serve(request, FakeCaller())
            return dispatcher

        return asyncio.run(run())

    def test_line_states_route_sizes_and_denials(self, caplog):
        caplog.set_level(logging.INFO)
        self.refuse([700])
        line = next(r for r in caplog.records if r.message == "refused")
        assert (line.route, line.prompt_tokens, line.answer_tokens) == ("r", 700, 50)
        assert line.denials == "6 slot_wait" and not line.returned

    def test_largest_tenth_is_counted_apart(self):
        dispatcher = self.refuse(list(range(100, 140)) + [5000])
        counts = {
            labels["size"]: count
            for labels, count in dispatcher.metrics.by_size.get_all()
        }
        assert counts["large"] >= 1 and sum(counts.values()) == 41


class TestLargePromptOfTheRoute:
    """An entry learns from new requests what is large, and states it with each."""

    def record(self, prompts, **more):
        dispatcher = dispatcher_without_targets()
        request = CallerRequest(
            "q", "POST", "/a/", "h", "/a/", (), b"", "k", 0.0, 5.0, answer_tokens=50
        )
        for prompt in prompts:
            admitted = dispatcher.admit(request._replace(prompt_tokens=prompt))
            admitted = dispatcher.record_prompt(admitted._replace(**more))
        return admitted.large_prompt

    def test_is_typical_of_the_largest_tenth(self):
        assert self.record(range(1, 102)) == 96

    def test_is_not_known_from_few(self):
        assert self.record([500]) == 0

    def test_returns_count_once(self):
        """Refused callers come back, and these have larger prompts."""
        assert self.record(range(1, 102), is_retry=True) == 0

    def test_request_without_a_prompt(self):
        assert self.record([0] * 50) == 0
