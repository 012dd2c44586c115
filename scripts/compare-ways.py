#!/usr/bin/env python3
"""Compares versions of the code on the same days and seeds of several deployments.

    BENCH=path/to/bench scripts/compare-ways.py --folder ../ways --ways before=HEAD~1,after=HEAD \\
        SITE... [--days trouble-1,...] [--seeds 1,2,3] [--jobs 4] [--cpu] [--why TEXT]

Each way is a commit, checked out and built in a folder of its own, which is kept for the next time. The
first way is what the others are compared with. For each deployment: the mean worth of the days with
trouble, the mean difference by day and seed with its 95% interval, and how requests ended. Processor time
is not charged unless --cpu is given. The bench's notes of the plays stay in the folders' journal/."""
import argparse
import concurrent.futures
import importlib.util
import math
import os
import pathlib
import statistics
import subprocess
import tempfile

# Two-sided 95% quantiles of Student's t by degrees of freedom; from 30 on the normal one will do.
T95 = [0, 12.7, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13,
       2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05]
NORMAL95 = 1.96


def worst_load():
    """The module beside this one; its name is no identifier."""
    path = pathlib.Path(__file__).with_name("worst-load.py")
    spec = importlib.util.spec_from_file_location("worst_load", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def checked_out(folder, name, commit):
    """A clone at that commit, built by the bench."""
    root = subprocess.run(["git", "rev-parse", "--show-toplevel"], capture_output=True, text=True, check=True)
    commit = subprocess.run(["git", "rev-parse", commit], capture_output=True, text=True, check=True).stdout.strip()
    way = folder / name
    if not way.exists():
        subprocess.run(["git", "clone", "-q", root.stdout.strip(), str(way)], check=True)
    subprocess.run(["git", "fetch", "-q"], cwd=way, check=True)
    subprocess.run(["git", "checkout", "-q", "--force", commit], cwd=way, check=True)
    subprocess.run([os.environ["BENCH"], "build"], cwd=way, check=True, capture_output=True)
    return way


def interval(differences):
    """Half of the 95% interval of the mean; 0 where there is one difference only."""
    degrees = len(differences) - 1
    if degrees < 1:
        return 0.0
    factor = T95[degrees] if degrees < len(T95) else NORMAL95
    return factor * statistics.stdev(differences) / math.sqrt(len(differences))


def fates(reports):
    counts = {fate: 0 for fate in ("n", "in_aim", "late", "refused", "failed")}
    for report in reports:
        for kind in report["classes"]:
            for fate in counts:
                counts[fate] += kind[fate]
    return "  ".join(f"{fate} {counts[fate] / max(counts['n'], 1):.3f}" for fate in list(counts)[1:])


def print_site(site, ways, reports):
    print(f"== {pathlib.Path(site).stem}")
    first = next(iter(ways))
    for way in ways:
        plays = {key: report for key, report in reports[way].items() if report}
        if not plays:
            continue
        mean = statistics.mean(report["G"] for report in plays.values())
        line = f"{way:<16} worth {mean:.3f}"
        if way != first:
            changes = [plays[key]["G"] - reports[first][key]["G"] for key in plays if reports[first].get(key)]
            line += f"  change {statistics.mean(changes):+.3f} +- {interval(changes):.3f} of {len(changes)}"
        print(f"{line}  {fates(plays.values())}")
        for key, report in plays.items():
            if report["breaks"] or report["fault"]:
                print(f"    BROKEN {key}: {report['breaks']} {report['fault']}")
    days = sorted({day for day, _ in reports[first]})
    for day in days:
        print(f"    {day:<12}" + "".join(
            f"  {way} " + "/".join(f"{report['G']:.3f}" for (one, _), report in sorted(reports[way].items()) if one == day and report)
            for way in ways))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--ways", required=True, help="NAME=COMMIT,NAME=COMMIT,...")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--days", default="", help="the days with trouble, unless given")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--why", default="trial: ways compared")
    options = parser.parse_args()
    load = worst_load()
    os.environ["BENCH"] = str(pathlib.Path(os.environ["BENCH"]).resolve())
    options.folder.mkdir(parents=True, exist_ok=True)
    ways = {name: checked_out(options.folder, name, commit)
            for name, _, commit in (way.partition("=") for way in options.ways.split(","))}
    for site in (str(pathlib.Path(site).resolve()) for site in options.sites):
        days = options.days.split(",") if options.days else [day for day in load.days_of(site) if not day.startswith("quiet")]
        reports = {way: {} for way in ways}
        with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            futures = {}
            for seed in options.seeds.split(","):
                for day in days:
                    for way, path in ways.items():
                        (pathlib.Path(folder) / way).mkdir(exist_ok=True)
                        futures[way, day, seed] = pool.submit(load.play, os.environ["BENCH"], site, day, seed, options,
                                                              pathlib.Path(folder) / way, path)
            for (way, day, seed), future in futures.items():
                reports[way][day, seed] = future.result()
        print_site(site, ways, reports)


if __name__ == "__main__":
    main()
