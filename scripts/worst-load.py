#!/usr/bin/env python3
"""Tells where the worth of a site's days goes, from the bench's reports.

    BENCH=path/to/bench scripts/worst-load.py SITE [--days scale-1,...] [--seeds 1,2,3]
                                              [--jobs 4] [--cpu] [--why TEXT] [--save FILE]

Plays each day with each seed and prints, for each day and for all, the mean worth with its spread
over seeds, what each price took, and how the requests of each kind ended. Processor time is not
charged unless --cpu is given, so that two versions can be compared seed by seed: --save keeps the
figures, --against FILE prints the differences to such a file."""
import argparse
import collections
import concurrent.futures
import json
import os
import pathlib
import re
import statistics
import subprocess
import tempfile

FATES = ("in_aim", "late", "refused", "failed")
SHOWN_PRICE = 0.002  # Of worth; smaller ones are not printed.


def days_of(site):
    """Names of the standard days of a site file."""
    text = pathlib.Path(site).read_text(encoding="utf-8")
    return [name for block in text.split("[[day]]")[1:] for name in re.findall(r'^name = "(.+)"', block, re.M)[:1]]


def play(bench, site, day, seed, options, folder, repository=None):
    """Plays one day of the code in @p repository (else in this folder); the report, or None if it
    could not be played."""
    report = pathlib.Path(folder) / f"{pathlib.Path(day).stem}-{seed}.json"
    command = [bench, "run", site, day, "--seed", str(seed), "--report", str(report), "--why", options.why]
    if not options.cpu:
        command.append("--no-cpu")
    done = subprocess.run(command, cwd=repository, capture_output=True, text=True, check=False)
    if not report.exists():
        print(f"{day} seed {seed} was not played: {done.stdout[-300:]} {done.stderr[-300:]}")
        return None
    return json.loads(report.read_text(encoding="utf-8"))


def print_worth(reports, before):
    means = []
    for day, by_seed in reports.items():
        worth = [report["G"] for report in by_seed.values()]
        means.append(statistics.mean(worth))
        changes = [report["G"] - before[day][str(seed)] for seed, report in by_seed.items()
                   if str(seed) in before.get(day, {})]
        change = f"  change {statistics.mean(changes):+.3f}" if changes else ""
        print(f"{day:<14} worth {statistics.mean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f}){change}")
    print(f"mean           worth {statistics.mean(means):.3f}")


def print_losses(reports):
    """Means over all plays: prices, and the fates of each kind of request."""
    plays = [report for by_seed in reports.values() for report in by_seed.values()]
    prices = collections.Counter()
    fates = collections.defaultdict(collections.Counter)
    for report in plays:
        for name, _, part in report["prices"]:
            prices[name] += part / len(plays)
        for kind in report["classes"]:
            fates[kind["name"]].update({fate: kind[fate] for fate in FATES} | {"n": kind["n"]})
    print("prices         " + ", ".join(f"{name} {part:.3f}" for name, part in prices.most_common() if part > SHOWN_PRICE))
    for name, counts in fates.items():
        print(f"{name:<20} " + "  ".join(f"{fate} {counts[fate] / max(counts['n'], 1):.3f}" for fate in FATES))
    for report in plays:
        if report["breaks"] or report["fault"]:
            print("BROKEN", report["breaks"], report["fault"], report["first"][:2])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--why", default="where the worth goes")
    parser.add_argument("--save")
    parser.add_argument("--against")
    options = parser.parse_args()
    days = options.days.split(",") if options.days else days_of(options.site)
    seeds = options.seeds.split(",")
    reports = collections.defaultdict(dict)
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = {(day, seed): pool.submit(play, os.environ["BENCH"], options.site, day, seed, options, folder)
                   for day in days for seed in seeds}
        for (day, seed), future in futures.items():
            if report := future.result():
                reports[day][seed] = report
    before = json.loads(pathlib.Path(options.against).read_text(encoding="utf-8")) if options.against else {}
    print_worth(reports, before)
    print_losses(reports)
    if options.save:
        kept = {day: {seed: report["G"] for seed, report in by_seed.items()} for day, by_seed in reports.items()}
        pathlib.Path(options.save).write_text(json.dumps(kept), encoding="utf-8")


if __name__ == "__main__":
    main()
