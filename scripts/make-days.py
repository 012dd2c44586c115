#!/usr/bin/env python3
"""Writes deploy/days/*.toml: each kind of trouble with each variant, at the start, in the middle and
at the end of a day, and pairs that meet. @c0, @s0 and @z0 stand for a deployment's first kind of
request, service and failure domain, so that a day fits any."""
import pathlib

OUT = pathlib.Path(__file__).parent.parent / "deploy" / "days"

SINGLE = {
    "burst": ["x = 3.0, for_s = 4.0"],
    "retry_abuse": ["share = 0.5, x = 4.0, for_s = 5.0"],
    "give_up": ["share = 0.4, for_s = 5.0", "share = 0.4, x = 1500.0, for_s = 5.0"],
    "srv_crash": [f'share = 0.25, for_s = 4.0, how = "{h}"' for h in ("", "dark", "gone", "all")],
    "srv_slow": ["share = 0.25, x = 5.0, for_s = 6.0"],
    "srv_grey": [f'share = 0.25, for_s = 6.0, how = "{h}"'
                 for h in ("errors", "shed", "busy", "hang", "reset", "mute", "slow")],
    "srv_cut": [f'share = 0.25, for_s = 5.0, how = "{h}"'
                for h in ("", "fronts", "some", "one_way", "reset", "reborn")],
    "answer_lost": ['share = 0.5, x = 0.1, for_s = 5.0', 'share = 0.5, x = 0.1, for_s = 5.0, how = "reset"'],
    "garble": [f'share = 0.5, x = 0.05, for_s = 5.0, how = "{h}"'
               for h in ("", "extra", "extra late", "unframed", "early", "rot")],
    "applied_late": [f'x = 0.4, for_s = 6.0, how = "{h}"' for h in ("orders", "all")],
    "node_kill": ['share = 0.3, for_s = 3.0', 'share = 0.3, for_s = 3.0, how = "power"',
                  'on = "core", count = 1, how = "leader race drain"',
                  'on = "core", count = 1, for_s = 3.0, how = "meet drain"'],
    "node_freeze": ["share = 0.2, for_s = 4.0", 'count = 1, for_s = 5.0, how = "giver"',
                    'count = 1, for_s = 5.0, how = "leader"', 'count = 1, for_s = 4.0, how = "renewed"'],
    "herd_kill": ["share = 0.6, for_s = 2.0", 'share = 0.6, for_s = 2.0, how = "power"',
                  'on = "core", for_s = 1.5'],
    "replace_core": [f'x = 2.0, how = "{h}"' for h in ("", "planned", "leader")],
    "replace_with_reuse": [f'share = 0.2, how = "{h}"' for h in ("", "drain", "dark")],
    "clock_step": [f'share = 0.4, x = 3000.0, for_s = 5.0, how = "{h}"' for h in ("back", "ahead")],
    "hup": ["share = 0.6, gap_s = 2.0"],
    "reset_conns": ["share = 0.4, x = 0.6"],
    "core_cut": [f'count = 1, for_s = 5.0, how = "{h}"'
                 for h in ("", "leader", "one_way", "leader one_way", "reset", "refuse", "all")],
    "node_cut": ["share = 0.2, for_s = 5.0", 'share = 0.3, for_s = 6.0, how = "meet"'],
    "lossy": ["x = 0.03, for_s = 6.0"],
    "platform_down": [f'for_s = 4.5, how = "{h}"'
                      for h in ("silent", "busy", "reset", "reset lapse", "silent lapse")]
    + [f'share = 0.4, for_s = 8.0, how = "nodes {h}"'
       for h in ("busy revoke meet", "reset revoke meet", "many", "silent", "leader silent", "busy drain")],
    "platform_slow": ["x = 60.0, for_s = 5.0"],
    "platform_lost": ['x = 0.35, for_s = 5.0', 'x = 0.35, for_s = 5.0, how = "late"'],
    "platform_compact": ['x = 5.0, for_s = 8.0', 'x = 5.0, for_s = 8.0, how = "drain"'],
    "kv_slow": ["share = 0.4, for_s = 6.0"],
    "handle_short": ["share = 0.4, for_s = 5.0"],
    "node_slow": ["share = 0.2, x = 5.0, for_s = 5.0"],
    "after_ack_kill": ["for_s = 3.0", 'for_s = 3.0, how = "timed"'],
    "add_nodes": ["share = 0.75"],
}
PLAN = {
    "release": ["share = 0.5, x = 1.0, gap_s = 1.0"],
    "scale_in": ["share = 0.2"],
    "scale_out": ["share = 0.3, gap_s = 2.0"],
    "roll_term": ["share = 1.0, x = 1.0, gap_s = 1.5", 'share = 0.5, how = "busy", gap_s = 1.0'],
    "config_change": [f'how = "{h}"' for h in ("route", "weights", "timeout", "idle")],
    "config_storm": ["for_s = 4.0, gap_s = 0.33"],
    "big_config": ["count = 350"],
}
PAIRS = {
    "kill-in-a-cut": ([("core_cut", 'count = 1, for_s = 6.0, how = "leader"', 8.0),
                       ("node_kill", 'share = 0.3, for_s = 2.0', 10.0)], []),
    "drain-while-the-store-is-down": ([("platform_down", 'for_s = 5.0, how = "busy lapse"', 8.0)],
                                      [("scale_in", "share = 0.2", 9.0)]),
    "change-in-a-roll": ([], [("roll_term", "share = 1.0, gap_s = 1.5", 6.0),
                              ("config_change", 'how = "route"', 8.0),
                              ("config_storm", "for_s = 4.0, gap_s = 0.4", 12.0)]),
    "holder-freezes-twice": ([("node_freeze", 'count = 1, for_s = 5.0, how = "giver"', 3.0),
                              ("node_freeze", 'count = 1, for_s = 5.0, how = "giver"', 14.0),
                              ("applied_late", 'x = 0.5, for_s = 20.0, how = "orders"', 1.0)], []),
    "reuse-in-an-outage": ([("platform_down", 'for_s = 5.0, how = "silent lapse"', 8.0),
                            ("replace_with_reuse", 'share = 0.2, how = "dark"', 9.0)], []),
    "release-in-a-burst": ([("burst", "x = 2.5, for_s = 6.0", 8.0)],
                           [("release", "share = 0.5, gap_s = 1.0", 8.5)]),
    "crash-at-the-peak": ([("burst", "x = 2.5, for_s = 6.0", 8.0),
                           ("srv_crash", 'share = 0.33, for_s = 4.0, how = "dark"', 9.0),
                           ("retry_abuse", "share = 0.5, x = 4.0, for_s = 6.0", 8.0)], []),
    "engines-go-silent-at-the-peak": ([("burst", 'class = "@c0", x = 3.0, for_s = 6.0', 8.0),
                                       ("srv_crash", 'service = "@s0", share = 0.25, for_s = 5.0, '
                                        'how = "dark"', 9.0)], []),
    "engines-come-back-in-an-outage": ([("platform_down", 'for_s = 5.0, how = "silent"', 8.0),
                                        ("srv_cut", 'service = "@s0", share = 0.3, for_s = 3.0, '
                                         'how = "reborn"', 8.5)], []),
    "scheduler-back-in-a-burst": ([("node_cut", "share = 0.35, for_s = 9.0", 1.0),
                                   ("burst", 'class = "@c0", x = 2.5, for_s = 8.0', 7.0),
                                   ("lossy", 'zone = "@z0", x = 0.05, for_s = 8.0', 7.0)], []),
    "grey-and-short-handles": ([("srv_grey", 'share = 0.3, for_s = 8.0, how = "hang"', 6.0),
                                ("handle_short", "share = 0.4, for_s = 8.0", 6.0)], []),
}


def entry(kind, fields, at):
    return f'  {{ at = {at}, kind = "{kind}", {fields} }},\n'


def write(name, seed, faults, plan):
    text = f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {seed}\nlabels = []\n'
    text += "plan = [\n" + "".join(entry(*one) for one in plan) + "]\n"
    text += "faults = [\n" + "".join(entry(*one) for one in faults) + "]\n"
    (OUT / f"{name}.toml").write_text(text)


def main():
    OUT.mkdir(parents=True, exist_ok=True)
    seed = 1000
    for table, is_plan in ((SINGLE, False), (PLAN, True)):
        for kind, variants in table.items():
            for number, fields in enumerate(variants):
                seed += 1
                entries = [(kind, fields, at) for at in (1.0, 12.0, 25.0)]
                write(f"{kind}-{number}", seed, [] if is_plan else entries,
                      entries if is_plan else [])
    for name, (faults, plan) in PAIRS.items():
        seed += 1
        write(f"pair-{name}", seed, faults, plan)


main()
