#!/usr/bin/env python3
"""What could be earned at most on a day, whatever a load balancer decides.

usage: earnable.py SITE.toml DAY REPORT.json OUTPUT.txt

SITE.toml and DAY name a deployment of the users; REPORT.json and OUTPUT.txt are
what `run SITE DAY --log all --report REPORT.json > OUTPUT.txt` left. Counted as lost or
late for everybody are only requests

1. all packets of which fall into the time without any process, from the loss of
   all until the log line of the first one that started: callers send an
   opening after 0, 200 and 600 ms, the data of an open flow after 0, 200, 600
   and 1,400 ms, and a further attempt once the first one is over (1,400 ms);
2. all packets of which go to one dead machine until the fabric leaves it out:
   it asks twice a second and leaves it out after two misses, 0.75 s on average.

An answer takes what the median of its kind took on that day. Prices are taken as
they were. Requests at work in a server that dies, and packets under way, are not
counted: they are fewer than one in 10,000.
"""
import json
import re
import sys
import tomllib

WINDOW_S = 2.0
ATTEMPT_S = 1.4  # an opening without an answer ends the attempt
MISSED_S = 0.75  # from a machine's death until the fabric leaves it out
STEP_S = 0.005


def sent_at(kind, deadline):
    """Times of a request's packets, from its start on."""
    if kind == "long":
        return [t for t in (0, 0.2, 0.6, 1.4) if t < deadline]
    times = []
    start = 0.0
    while start < deadline:
        times += [start + t for t in (0, 0.2, 0.6)]
        start += ATTEMPT_S
    return [t for t in times if t < deadline]


def outcome(begun, dark, cls, median):
    """1 in time, its part when late, 0 when lost."""
    kind = "new" if cls.get("habit") == "fresh" else "long"
    deadline = cls["deadline_ms"] / 1000
    for t in sent_at(kind, deadline):
        if any(a <= begun + t < b for a, b in dark):
            continue
        took = t + median
        if took <= cls["aim_ms"] / 1000:
            return 1.0
        return cls["late_worth"] / cls["worth"] if took <= deadline else 0.0
    return 0.0


def main():
    site_file, day_name, report_file, output_file = sys.argv[1:]
    site = tomllib.load(open(site_file, "rb"))
    day = next(d for d in site["day"] if d["name"] == day_name)
    report = json.load(open(report_file))
    text = open(output_file, errors="replace").read()
    asked = {
        float(m[1]): int(m[2])
        for m in re.finditer(r"^(\d+) +(\d+) +\d+ +\d+ +\d+ +\d+ +\d+ +[\d.]+ +[\d.]+ +[\d.]+$", text, re.M)
    }
    medians = {c["name"]: c["p50_ms"] / 1000 for c in report["classes"]}
    classes = {c["name"]: c for c in site["classes"]}
    traffic = day.get("traffic", site["traffic"])
    total = sum(t["per_s"] for t in traffic)

    # Times without machines: of all, or of one of a zone's.
    all_dark = []
    some_dark = []  # zone, part of its packets, from, to
    closing = re.search(r"([\d.]+) s to +([\d.]+) s +closing \((\w+)", text)
    if closing and "closing" in day:
        at = float(closing[1])
        started = [float(t) for t in re.findall(r'^ *([\d.]+) front-[^ ]+ .*"event":"started"', text, re.M)]
        all_dark.append((at, min(t for t in started if t > at)))
    count = {}
    for m in site["machines"]:
        count[m["zone"]] = count.get(m["zone"], 0) + m["count"]
    for m in re.finditer(r"([\d.]+) s to +([\d.]+) s +(node_kill|node_freeze|herd_kill|after_ack_kill)[^\n]*", text):
        for node in re.findall(r"front-([\w-]+)-\d+", m[0]):
            if node in count:
                at = float(m[1])
                some_dark.append((node, 1 / (count[node] + 1), at, min(float(m[2]), at + MISSED_S)))

    earned = {}
    for zone_traffic in traffic:
        zone = zone_traffic["zone"]
        mix = zone_traffic["mix"]
        parts = sum(mix.values())
        for name, part in mix.items():
            cls = classes[name]
            rate = zone_traffic["per_s"] / total * part / parts
            for window, n in asked.items():
                span = WINDOW_S
                steps = int(span / STEP_S)
                plain = [window + (i + 0.5) * STEP_S for i in range(steps)]
                got = 0.0
                for at in plain:
                    one = outcome(at, all_dark, cls, medians[name])
                    for dark_zone, share, a, b in some_dark:
                        if dark_zone == zone:
                            one -= share * (one - outcome(at, all_dark + [(a, b)], cls, medians[name]))
                    got += one
                owed = n * rate * cls["worth"]
                earned[(window, zone, name)] = (owed, owed * got / steps)

    def ratio(match):
        owed = sum(o for k, (o, _) in earned.items() if match(k))
        return sum(e for k, (_, e) in earned.items() if match(k)) / owed

    windows = sorted(ratio(lambda k, w=w: k[0] == w) for w in asked)
    parts = {
        "whole day": ratio(lambda k: True),
        "worst windows": sum(windows[:2]) / 2,
        "worst class": min(ratio(lambda k, c=c: k[2] == c) for c in classes),
        "worst zone": min(ratio(lambda k, z=t["zone"]: k[1] == z) for t in traffic),
    }
    prices = sum(p[2] for p in report["prices"])
    weights = {p[0]: p[1] for p in report["parts"]}
    bound = sum(weights[k] * v for k, v in parts.items()) - prices
    was = {p[0]: p[2] for p in report["parts"]}
    print(f"{day_name}: earned {report['G']:.3f}, could be earned {bound:.3f}, difference {bound - report['G']:.3f}; "
          + ", ".join(f"{k} {was[k]:.3f} of {v:.3f}" for k, v in parts.items()) + f"; prices {prices:.3f}")


main()
