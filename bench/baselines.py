"""Baselines of ``bench.burst``: naive fan-out and binary tree under the same limits.

They are simulated in one process without sockets, processes or digests. Only the
links take time, so the comparison favours the baselines.
"""

import argparse
import asyncio
import json
import sys
import time

from wisteriapulley.weights.pace import LinkBudget


async def naive(
    nodes: int,
    size_bytes: int,
    chunk_bytes: int,
    link_bytes_per_s: float,
    origin_bytes_per_s: float,
) -> float:
    """Let every instance fetch the whole version from the origin."""
    origin_budget = LinkBudget(origin_bytes_per_s)

    async def fetch() -> None:
        budget = LinkBudget(link_bytes_per_s)
        for _ in range(0, size_bytes, chunk_bytes):
            await origin_budget.acquire(chunk_bytes)
            await budget.acquire(chunk_bytes)

    started_s = time.monotonic()
    await asyncio.gather(*(fetch() for _ in range(nodes)))
    return time.monotonic() - started_s


async def tree(
    nodes: int,
    size_bytes: int,
    chunk_bytes: int,
    link_bytes_per_s: float,
    origin_bytes_per_s: float,
) -> float:
    """Relay chunks down a binary tree as they arrive; the root fetches one copy."""
    origin_budget = LinkBudget(origin_bytes_per_s)
    budgets = [LinkBudget(link_bytes_per_s) for _ in range(nodes)]
    queues = [asyncio.Queue() for _ in range(nodes)]

    async def feed() -> None:
        for offset in range(0, size_bytes, chunk_bytes):
            await origin_budget.acquire(chunk_bytes)
            queues[0].put_nowait(offset)

    async def relay(node: int) -> None:
        for _ in range(0, size_bytes, chunk_bytes):
            offset = await queues[node].get()
            await budgets[node].acquire(chunk_bytes)
            for child in (2 * node + 1, 2 * node + 2):
                if child < nodes:
                    await budgets[node].acquire(chunk_bytes)
                    queues[child].put_nowait(offset)

    started_s = time.monotonic()
    await asyncio.gather(feed(), *(relay(node) for node in range(nodes)))
    return time.monotonic() - started_s


async def run(args: argparse.Namespace) -> dict[str, float]:
    """Run both baselines concurrently, each with its own links."""
    limits = (args.nodes, args.size, args.chunk, args.link, args.origin)
    naive_s, tree_s = await asyncio.gather(naive(*limits), tree(*limits))
    return {"naive_seconds": round(naive_s, 2), "tree_seconds": round(tree_s, 2)}


def main() -> int:
    """Parse the command line, run the baselines and print the result."""
    parser = argparse.ArgumentParser()
    for name in ("nodes", "size", "chunk"):
        parser.add_argument(f"--{name}", type=int, required=True)
    for name in ("link", "origin"):
        parser.add_argument(f"--{name}", type=float, required=True)
    print(json.dumps(asyncio.run(run(parser.parse_args()))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
