#!/usr/bin/env python3
"""Writes site files of deployments that nobody has seen, drawn from a given one:

    scripts/draw-sites.py SITE FOLDER [--draws 6] [--seed 1]

The engines' step, reading rate, memory, batch and first phases are drawn at random, each day keeps its
faults. They show whether a change holds beyond the deployments it was measured on; no draw is kept, so
that none becomes a target."""
import argparse
import pathlib
import random
import re

# Factors on what the given engines have, drawn evenly on a log scale.
FACTORS = {"step_ms": (0.6, 2.0), "prefill_tokens_per_ms": (0.5, 2.0), "kv_tokens": (0.7, 1.8)}
PREFILL_SHARE = (0.15, 0.65)


def scaled(text, name, factor):
    """The first `name = number` of the engines, times the factor; whole numbers stay whole."""
    def replace(match):
        value = float(match.group(2)) * factor
        return match.group(1) + (repr(round(value, 4)) if "." in match.group(2) else str(round(value)))
    return re.sub(rf"(\b{name} = )([0-9.]+)", replace, text, count=1)


def draw(text, rng):
    for name, (least, most) in FACTORS.items():
        text = scaled(text, name, least * (most / least) ** rng.random())
    share = round(rng.uniform(*PREFILL_SHARE), 2)
    return re.sub(r"(\bprefill = )[0-9.]+", rf"\g<1>{share}", text, count=1)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--draws", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    wire = options.site.parent / "wire.json"
    (options.folder / "wire.json").write_text(wire.read_text(encoding="utf-8"), encoding="utf-8")
    rng = random.Random(options.seed)
    given = options.site.read_text(encoding="utf-8")
    for number in range(options.draws):
        path = options.folder / f"{options.site.stem}-{number}.toml"
        path.write_text(draw(given, rng), encoding="utf-8")
        print(path)


if __name__ == "__main__":
    main()
