"""Plays many seeds, some at a time; the log of a seed is kept if it fails."""

import asyncio
import pathlib
import tempfile


def add_options(parser, at_once):
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="how many seeds")
    parser.add_argument("--at-once", type=int, default=at_once, help="runs at a time")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for logs of failed runs")


async def _play_seed(options, name, play, seed, limit):
    async with limit:
        path = pathlib.Path(options.logs) / f"{name}-{seed}.log"
        with open(path, "w", encoding="utf-8") as log:
            problems, summary = await play(seed, log)
            for problem in problems:
                log.write(f"problem {problem}\n")
        print(f"seed {seed}: {'FAILED' if problems else 'ok'}, {summary}", flush=True)
        for problem in problems[:10]:
            print(f"    {problem}")
        if problems:
            print(f"    log: {path}")
        else:
            path.unlink()
        return not problems


async def play_seeds(options, name, play):
    """@p play: takes a seed and its log; the broken promises and a summary. Returns the exit status."""
    limit = asyncio.Semaphore(options.at_once)
    seeds = range(options.seed, options.seed + options.runs)
    good = await asyncio.gather(*(_play_seed(options, name, play, seed, limit) for seed in seeds))
    print(f"{sum(good)} of {len(good)} runs kept all promises")
    return 0 if all(good) else 1
