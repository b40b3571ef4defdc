"""Naive fan-out and binary tree under the same limits, as stand-ins.

They run in one process, without sockets, processes or digests, so they lose
no time but that of the links: the comparison is in their favour.
"""

import argparse
import asyncio
import json
import sys
import time

from wisteriapulley.weights.pace import LinkBudget


async def naive(nodes: int, size: int, chunk: int, link: float, origin: float) -> float:
    """Let every instance draw the whole version from the origin."""
    source = LinkBudget(origin)

    async def draw() -> None:
        budget = LinkBudget(link)
        for _ in range(0, size, chunk):
            await source.acquire(chunk)
            await budget.acquire(chunk)

    begun_s = time.monotonic()
    await asyncio.gather(*(draw() for _ in range(nodes)))
    return time.monotonic() - begun_s


async def tree(nodes: int, size: int, chunk: int, link: float, origin: float) -> float:
    """Pass chunks down a binary tree as they come; the root draws one copy."""
    source = LinkBudget(origin)
    budgets = [LinkBudget(link) for _ in range(nodes)]
    queues = [asyncio.Queue() for _ in range(nodes)]

    async def feed() -> None:
        for number in range(0, size, chunk):
            await source.acquire(chunk)
            queues[0].put_nowait(number)

    async def pass_on(node: int) -> None:
        for _ in range(0, size, chunk):
            number = await queues[node].get()
            await budgets[node].acquire(chunk)
            for child in (2 * node + 1, 2 * node + 2):
                if child < nodes:
                    await budgets[node].acquire(chunk)
                    queues[child].put_nowait(number)

    begun_s = time.monotonic()
    await asyncio.gather(feed(), *(pass_on(node) for node in range(nodes)))
    return time.monotonic() - begun_s


async def run(args: argparse.Namespace) -> dict[str, float]:
    """Run both side by side; each has its own links."""
    limits = (args.nodes, args.size, args.chunk, args.link, args.origin)
    naive_s, tree_s = await asyncio.gather(naive(*limits), tree(*limits))
    return {"naive_seconds": round(naive_s, 2), "tree_seconds": round(tree_s, 2)}


def main() -> int:
    """Run as a process."""
    parser = argparse.ArgumentParser()
    for name in ("nodes", "size", "chunk"):
        parser.add_argument(f"--{name}", type=int, required=True)
    for name in ("link", "origin"):
        parser.add_argument(f"--{name}", type=float, required=True)
    print(json.dumps(asyncio.run(run(parser.parse_args()))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
