#!/usr/bin/env python3
"""Faults beside stops of runs whose streams have no length: frozen, leaving, cut-off and several nodes, odd moments.

    tests/soak/stoppedscenes.py --build build                   each scene with each of its plans
    tests/soak/stoppedscenes.py --build build --only late-stop/none,freeze-400-before/200/with
    tests/soak/stoppedscenes.py --build build --only freeze,two-nodes --times 3
    tests/soak/stoppedscenes.py --build build --nodes old/build --list

Checked in each scene: a stream that looks whole to its caller is whole, and what a caller got is a part of the
whole stream. A scene whose fault did not happen is a problem as well: it tested nothing.
"""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
import time

from cutoffscenes import Backups, CutOff
from scenesofstops import EmptyContinuation, Freeze, HalfEvent, LateStop, Leave, TwoNodes, scene_name
from stoppedplay import EVENTS, Answer, ask
from stoppingengine import Plan

# More than a stream and its moves take; then a scene is a finding by itself.
SCENE_S = 60.0


class Maker:
    """Makes a scene for each play."""

    def __init__(self, kind, plan, fault=""):
        self.kind, self.plan, self.fault = kind, plan, fault
        self.name = scene_name(kind, plan, fault)

    def __call__(self, options, log):
        return self.kind(options, log, self.plan, self.fault)


def all_scenes():
    scenes = [Maker(kind, Plan("503-handle", close), lost) for kind in (LateStop, EmptyContinuation)
              for lost in ("none", "reset") for close in ("before", "with")]
    scenes += [Maker(Freeze, plan, f"{ms}-{moment}") for ms in (400, 2500) for moment in ("before", "while", "after")
               for plan in (Plan("200", "with"), Plan("503-handle"), Plan("500", "with"), Plan("500"),
                            Plan("reset", "with"), Plan("none"))]
    scenes += [Maker(Leave, plan, moment) for moment in ("before", "while", "after")
               for plan in (Plan("200", "with"), Plan("503-handle"), Plan("500", "with"), Plan("none"), Plan("late"),
                            Plan("reset", "with")) if (plan.answer, moment) != ("none", "after")]
    scenes += [Maker(CutOff, plan, fault)
               for fault in ("hang", "reset", "hang-first", "reset-first", "hang-heals-before", "hang-heals-while",
                             "hang-heals-after")
               for plan in (Plan("200"), Plan("503-handle", "with"), Plan("500", "with"), Plan("none"))]
    scenes += [Maker(Backups, Plan(answer, close)) for answer in ("421", "404")
               for close in ("before", "with", "after", "own")]
    scenes += [Maker(Backups, Plan("refused", "own"), fault) for fault in ("", "cut300")]
    scenes += [Maker(Backups, Plan(answer, "own"), "cut300") for answer in ("421", "404")]
    scenes += [Maker(HalfEvent, plan) for plan in (Plan("200"), Plan("200", "with"), Plan("503-handle"),
                                                   Plan("500", "with"), Plan("none"))]
    scenes += [Maker(TwoNodes, plan) for plan in (Plan("200"), Plan("200", "with"), Plan("503-handle"),
                                                  Plan("500", "with"), Plan("409", "with"), Plan("none"))]
    return scenes


async def play(scene, log):
    """Returns the problems and a summary."""
    await scene.start()
    engine = scene.engines[0]
    engine.plan = scene.plan
    await scene.before_streams()
    answers = [Answer(path, minor, i) for i, (path, minor) in enumerate(scene.streams)]
    nodes = scene.serving()
    begun = time.monotonic()
    tasks = [asyncio.create_task(ask(nodes[i % len(nodes)], one, scene.key)) for i, one in enumerate(answers)]
    while sum(len(one.runs) for one in scene.engines) < len(answers) and time.monotonic() < begun + 5:
        await asyncio.sleep(0.02)
    await asyncio.sleep(scene.first_wait_s)
    await scene.disturb()
    await asyncio.gather(*tasks)
    await scene.after_streams()
    problems = [f"{scene.name}: {one}" for one in scene.problems]
    for one in answers:
        log.write(f"{scene.name} {one.id} {one.status} looks_whole={one.looks_whole} events={len(one.events())} "
                  f"stops={[answer for id_, answer in engine.stops if id_ == one.id]}\n")
        if one.status == 200 and one.looks_whole and not one.is_whole():
            problems.append(f"{scene.name}: {one.id} looks whole with {len(one.events())} of {EVENTS} events")
        if not one.is_in_order():
            problems.append(f"{scene.name}: {one.id} has the events {one.events()}")
        if one.status == 200 and not one.is_part_of_whole():
            problems.append(f"{scene.name}: {one.id} has other bytes: {one.body[-200:]!r}")
    nothing = scene.tested_nothing()
    if nothing:
        problems.append(f"{scene.name}: {nothing}: the scene tests nothing")
    false = sum(one.status == 200 and one.looks_whole and not one.is_whole() for one in answers)
    others = sum(one.status != 200 for one in answers)
    summary = f"{scene.name}: {sum(one.is_whole() for one in answers)} of {len(answers)} whole, " \
        f"{false} look whole and are not, {others} without 200, {len(engine.stops)} stops"
    return problems, false, bool(nothing), summary


async def main():
    parser = argparse.ArgumentParser(description="Faults beside stops of runs whose streams have no length.")
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--nodes", default="", help="folder with the nodes' program, if it is another one")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the logs")
    parser.add_argument("--only", default="", help="scenes to play, or beginnings of their names, with commas")
    parser.add_argument("--times", type=int, default=1, help="plays of each scene")
    parser.add_argument("--at-once", type=int, default=4, help="plays at a time")
    parser.add_argument("--list", action="store_true", help="write the scenes' names only")
    options = parser.parse_args()
    limit = asyncio.Semaphore(options.at_once)
    totals = collections.Counter()
    found = []

    only = tuple(options.only.split(",")) if options.only else ("",)
    makers = [maker for maker in all_scenes() if maker.name.startswith(only)]
    if options.list:
        print("\n".join(maker.name for maker in makers))
        return 0

    async def play_one(number, maker):
        async with limit:
            path = pathlib.Path(options.logs) / f"stoppedscenes-{number}.log"
            with open(path, "w", encoding="utf-8") as log:
                scene = maker(options, log)
                try:
                    problems, false, nothing, summary = await asyncio.wait_for(play(scene, log), SCENE_S)
                except (asyncio.TimeoutError, RuntimeError, OSError) as error:
                    problems, false, nothing = [f"{scene.name}: broke off: {error!r}"], 0, False
                    summary = f"{scene.name}: broke off"
                    totals["broken off"] += 1
                finally:
                    await scene.end()
            print(summary + (f", log: {path}" if problems else ""), flush=True)
            found.extend(problems)
            totals["false"] += false
            totals["nothing"] += nothing

    plays = [maker for maker in makers for _ in range(options.times)]
    await asyncio.gather(*(play_one(i, maker) for i, maker in enumerate(plays)))
    for problem in found:
        print(f"    {problem}")
    print(f"{len(plays)} plays, {len(found)} problems: {totals['false']} streams look whole and are not, "
          f"{totals['nothing']} plays tested nothing, {totals['broken off']} broke off")
    return 1 if found or not plays else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
