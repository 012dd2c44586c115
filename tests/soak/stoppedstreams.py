#!/usr/bin/env python3
"""Streams without a length whose run is stopped by order, beside streams that end by themselves.

    tests/soak/stoppedstreams.py --build build                    each answer by each moment of the close
    tests/soak/stoppedstreams.py --build build --only 500/after/forgotten,409/with
    tests/soak/stoppedstreams.py --build build --nodes old/build  nodes of another build

An engine leaves under its streams, so that its node orders it to stop the runs; or it stops them since the time
that it was given is over. Checked for each answer to the order and each moment of the close: a stream that looks
whole is whole. It is whole where the answers are those of the users' page, and where it ended by itself and the
answer proves that nothing was stopped.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from stoppedplay import EVENTS, STREAMS, Answer, Play, ask
from stoppingengine import ANSWERS, CLOSES, NO_ANSWERS, Plan

# Shorter than a stream: engines stop work when the time that they were given is over.
SHORT_PATIENCE_S = 1.5
# In place of an answer to a stop: no run is asked to stop.
OUT_OF_TIME = "out-of-time"
# The same: the node stands still, and its engine cuts off the streams that it does not read.
UNREAD = "unread"
UNREAD_PADDING = "x" * 500  # So that the events of that time do not fit into the smallest window.
# The same, and the streams end by themselves meanwhile.
STILL = "still"
STANDS_STILL_S = {UNREAD: 2.5, STILL: 3.5}
# A node gives up a stream that may be resumed if its engine is silent for longer.
MOST_STILL_S = 1.0
# Answers that say that nothing was stopped: a stream beside them ends by itself.
PROOFS = ("404", "refused", "429", STILL)


class StopPlay(Play):
    async def run(self):
        await self.start()
        leaving = self.engines[0]
        leaving.plan = self.plan
        # Only framing proves the end of a stream that continues another one without an event.
        self.engines[1].is_chunked = self.plan.close == "last"
        answers = [Answer(path, minor, i) for i, (path, minor) in enumerate(STREAMS)]
        if self.plan.answer == UNREAD:
            leaving.padding = UNREAD_PADDING
        for one in answers:
            one.padding = leaving.padding
            if self.plan.answer == OUT_OF_TIME:
                one.patience_s = SHORT_PATIENCE_S
        tasks = [asyncio.create_task(ask(self.nodes[0], one, self.key)) for one in answers]
        limit = time.monotonic() + 5
        while len(leaving.runs) < len(STREAMS) and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        if self.plan.answer == "refused":
            leaving.refuse()
        if self.plan.answer in STANDS_STILL_S:
            await self.stand_still(leaving)
        elif self.plan.answer != OUT_OF_TIME:
            await self.platform.control({"drain": "d-1", "undrain": "d-2"})
        await asyncio.gather(*tasks)
        return self.judge(leaving, answers)

    async def stand_still(self, engine):
        self.nodes[0].signal(signal.SIGSTOP)
        await asyncio.sleep(STANDS_STILL_S[self.plan.answer] / 2)
        if self.plan.answer == UNREAD:
            engine.cut_off()
        await asyncio.sleep(STANDS_STILL_S[self.plan.answer] / 2)
        self.nodes[0].signal(signal.SIGCONT)

    def expects_whole(self):
        """Whether an engine that answers by the page, at the latest when it is asked again, keeps each stream whole."""
        plan = self.plan
        if self.stood_still_s > MOST_STILL_S:
            return False
        if plan.close == "own":
            return plan.answer in PROOFS
        return plan.names_handle or (plan.answer in ANSWERS and plan.keeps and plan.times == 1)

    def judge(self, leaving, answers):
        problems = []
        name = str(self.plan)
        stopped = {one for one, _ in leaving.stops}
        for one in answers:
            self.log.write(f"{name} {one.id} {one.status} looks_whole={one.looks_whole} events={len(one.events())} "
                           f"stops={[answer for id_, answer in leaving.stops if id_ == one.id]}\n")
            if one.status == 200 and one.looks_whole and not one.is_whole():
                problems.append(f"{name}: {one.id} looks whole with {len(one.events())} of {EVENTS} events")
            if not one.is_in_order():
                problems.append(f"{name}: {one.id} has the events {one.events()}")
            if one.status == 200 and not one.is_part_of_whole():
                problems.append(f"{name}: {one.id} has other bytes: {one.body[-200:]!r}")
            if self.expects_whole() and not one.is_whole():
                problems.append(f"{name}: {one.id} has {len(one.events())} of {EVENTS} events")
        if not (stopped or leaving.cut) and self.plan.answer not in ("refused", STILL):
            problems.append(f"{name}: no run was stopped or asked to: the test tests nothing")
        whole = sum(one.is_whole() for one in answers)
        false = sum(one.status == 200 and one.looks_whole and not one.is_whole() for one in answers)
        still = f", the engines stood still for {self.stood_still_s:.1f} s" if self.stood_still_s > MOST_STILL_S else ""
        return problems, f"{name}: {whole} of {len(answers)} whole, {false} look whole and are not, " \
            f"{len(stopped)} were asked to stop{still}"


def all_plans():
    moments = [close for close in CLOSES if close not in ("own", "last")]
    handles = [answer for answer in ANSWERS if ANSWERS[answer][1]]
    empty = ["500", "409", "503"]  # Answers that say nothing of the run.
    plans = [Plan(answer, close) for answer in (*handles, *empty, *NO_ANSWERS) for close in moments]
    plans += [Plan(answer, close, keeps=False) for answer in empty for close in moments]
    plans += [Plan(answer, close, times=2) for answer in (*empty, "none", "reset") for close in moments]
    plans += [Plan("200", "last")]
    plans += [Plan(answer, "own") for answer in ("404", "421", "429", "refused", *empty, *NO_ANSWERS, OUT_OF_TIME, UNREAD, STILL)]
    return plans


async def main():
    parser = argparse.ArgumentParser(description="Streams without a length whose run is stopped by order.")
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--nodes", default="", help="folder with the nodes' program, if it is another one")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the logs")
    parser.add_argument("--only", default="", help="plans to play, separated by commas")
    parser.add_argument("--at-once", type=int, default=4, help="plays at a time")
    options = parser.parse_args()
    limit = asyncio.Semaphore(options.at_once)
    found = []

    async def play_one(number, plan):
        async with limit:
            path = pathlib.Path(options.logs) / f"stoppedstreams-{number}.log"
            with open(path, "w", encoding="utf-8") as log:
                play = StopPlay(options, plan, log)
                try:
                    problems, summary = await play.run()
                finally:
                    await play.end()
            print(summary + (f", log: {path}" if problems else ""), flush=True)
            found.extend(problems)

    only = options.only.split(",") if options.only else None
    plans = [plan for plan in all_plans() if only is None or str(plan) in only]
    await asyncio.gather(*(play_one(i, plan) for i, plan in enumerate(plans)))
    for problem in found:
        print(f"    {problem}")
    print(f"{len(plans)} plays, {len(found)} problems")
    return 1 if found or not plans else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
