#!/usr/bin/env python3
"""Measures the base figures of docs/CAPACITY.md on real processes on loopback.

Usage: tools/bench_capacity.py [--build DIR] [--json FILE] COMMAND
  sizes N...   N daemons without load, each with a stand-in worker: processor time, memory,
               file descriptors, control bytes, appends and reads at the log, and the time
               until a published document is in effect on all daemons
  crowd N...   one daemon among N fake members of bench/member_crowd, the same columns
  return N...  one daemon among 539 fake members, N of which are partitioned for 60 s and return
  stream N...  the start of a daemon on a configuration stream of N documents
  calls R...   processor time per call of an entry and an owner at R calls/s
  memory       memory per open call, queued call and key row

Processor time is user + system time of the process (/proc/PID/stat). Membership bytes are the
daemons' own count of bytes sent (payload + 28 for each datagram). Log bytes are the TCP payload
of each daemon's connections to the log (ss -ti). Every process started here is ended by its id.
"""

import argparse
import http.client
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from datetime import datetime, timezone

HZ = os.sysconf("SC_CLK_TCK")
PORTS_PER_DAEMON = 5
SERVICES = 43
ROUTES = 10
ZONES = [("north", "north-a"), ("north", "north-b"), ("north", "north-c"),
         ("south", "south-a"), ("south", "south-b"), ("south", "south-c")]


def document(mark=0, services=None, slots=64, queue_limit=24, deadline_ms=2000):
    names = services or [f"service-{index:02}" for index in range(SERVICES)]
    lines = ["format = 1", f'name = "capacity-{mark}"', "[measuring]",
             "bytes_per_second = 2000", "upstream_ms_per_second = 12"]
    for name in names:
        lines += ["[[service]]", f'name = "{name}"', f"deadline_ms = {deadline_ms}",
                  f"slots = {slots}", "connections = 5000", f"queue_limit = {queue_limit}",
                  "long_share = 0.3", "warmup_ms = 1", "objective = 0.999",
                  "objective_latency_ms = 200"]
        for route in range(ROUTES):
            lines += ["[[service.route]]", 'method = "POST"',
                      f'prefix = "/{name}/route-{route}"', 'class = "short"',
                      f"protected = {'true' if route == 0 else 'false'}",
                      f"deadline_ms = {deadline_ms}"]
    return "\n".join(lines) + "\n"


def http_request(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        return connection.getresponse().read()
    finally:
        connection.close()


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / HZ


def rss_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def median(values):
    return round(statistics.median(values), 3)


class Deployment:
    """A log and daemons with one worker each, as child processes."""

    def __init__(self, options):
        self.bin = os.path.join(options.build, "bin")
        self.log_port = options.first_port
        self.first_port = options.first_port + 10
        self.crowd_port = options.first_port + 1000
        self.work = tempfile.mkdtemp(prefix="bronzeroute-capacity-")
        self.processes = []
        self.daemons = []
        self.workers = []
        self.services = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # The log is stopped last, so that every daemon can append its leave record.
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                if process is self.processes[0]:
                    break
        deadline = time.monotonic() + 15
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        subprocess.run(["rm", "-r", self.work], check=False)

    def start(self, name, *arguments):
        with open(os.path.join(self.work, name + ".out"), "wb") as out:
            process = subprocess.Popen([os.path.join(self.bin, name.split("-")[0]), *arguments],
                                       stdout=out, stderr=subprocess.STDOUT)
        self.processes.append(process)
        return process

    def start_log(self):
        self.start("brstandin_log", "--listen", self.log_address(),
                   "--appends-per-second", "100000")
        wait_for_port(self.log_port)

    def log_address(self):
        return f"127.0.0.1:{self.log_port}"

    def port(self, index, offset=0):
        return self.first_port + index * PORTS_PER_DAEMON + offset

    def start_daemon(self, index, service, slots=64):
        region, zone = ZONES[index % len(ZONES)]
        path = os.path.join(self.work, f"{index}.toml")
        with open(path, "w", encoding="ascii") as settings:
            settings.write(
                f'environment = "production"\nregion = "{region}"\n'
                f'availability_zone = "{zone}"\n[addresses]\n'
                f'callers = "127.0.0.1:{self.port(index)}"\n'
                f'peers = "127.0.0.1:{self.port(index, 1)}"\n'
                f'membership = "127.0.0.1:{self.port(index, 2)}"\n'
                f'admin = "127.0.0.1:{self.port(index, 3)}"\n'
                f'[log]\naddress = "127.0.0.1:{self.log_port}"\n')
        self.daemons.append(self.start(f"bronzerouted-{index}", "--settings", path))
        self.services.append(service)
        self.workers.append(self.start(
            f"brstandin_worker-{index}", "--listen", f"127.0.0.1:{self.port(index, 4)}",
            "--daemon", f"127.0.0.1:{self.port(index, 3)}", "--service", service, "--slots",
            str(slots), "--connections", "5000"))

    def control(self, *arguments):
        return subprocess.run([os.path.join(self.bin, "brctl"), "--log",
                               self.log_address(), *arguments],
                              check=True, capture_output=True, text=True).stdout

    def publish(self, text):
        path = os.path.join(self.work, "document.toml")
        with open(path, "w", encoding="ascii") as out:
            out.write(text)
        self.control("publish", path)
        return int(re.search(r"accepted as version (\d+)", self.control("promote")).group(1))

    def wait(self, members, timeout=90):
        admin_arguments = []
        for index in range(len(self.daemons)):
            admin_arguments += ["--admin", f"127.0.0.1:{self.port(index, 3)}"]
        self.control("wait", *admin_arguments, "--members", str(members),
                     "--timeout", str(timeout))

    def log_counters(self):
        return json.loads(http_request(self.log_port, "PUT", "/v1/faults", "{}"))

    def membership_bytes(self, index):
        text = http_request(self.port(index, 3), "GET", "/.bronzeroute/v1/metrics").decode()
        rows = re.findall(
            r'measuring_bytes_total\{purpose="membership_\w+",[^}]*\} (\S+)', text)
        return sum(float(row) for row in rows)

    def log_bytes(self):
        """Bytes sent and received by each daemon on its open connections to the log, by pid."""
        lines = subprocess.run(["ss", "-tinpH", "dst", self.log_address()],
                               check=True, capture_output=True, text=True).stdout
        totals = {process.pid: [0, 0] for process in self.daemons}
        for row in re.split(r"\n(?=\S)", lines):
            pid = re.search(r"pid=(\d+)", row)
            if pid is None or int(pid.group(1)) not in totals:
                continue
            for column, name in enumerate(("bytes_sent", "bytes_received")):
                count = re.search(name + r":(\d+)", row)
                totals[int(pid.group(1))][column] += int(count.group(1)) if count else 0
        return totals

    def effect_times(self, version):
        """Seconds from the append of `version` to each daemon's log line that it is in effect."""
        reply = json.loads(http_request(
            self.log_port, "GET",
            f"/v1/streams/config.production/records?from={version}&limit=1"))
        published = reply["records"][0]["at_ms"] / 1000
        line = re.compile(r"^(\S+ \S+) .*config: version %d is in effect" % version, re.M)
        deadline = time.monotonic() + 30
        times = []
        for index in range(len(self.daemons)):
            path = os.path.join(self.work, f"bronzerouted-{index}.out")
            while True:
                with open(path, encoding="utf-8") as text:
                    match = line.search(text.read())
                if match or time.monotonic() > deadline:
                    break
                time.sleep(0.05)
            if not match:
                times.append(float("inf"))
                continue
            at = datetime.strptime(match.group(1), "%Y-%m-%d %H:%M:%S,%f")
            times.append(at.replace(tzinfo=timezone.utc).timestamp() - published)
        return times


def wait_for_port(port):
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.02)
    raise RuntimeError(f"nothing listens on port {port}")


def measure_idle(deployment, seconds):
    """Resource use and traffic per daemon over `seconds`; log reads and appends are totals."""
    daemons = deployment.daemons

    def snapshot():
        return (time.monotonic(), [cpu_seconds(process.pid) for process in daemons],
                deployment.log_counters(),
                [deployment.membership_bytes(index) for index in range(len(daemons))],
                deployment.log_bytes())

    before = snapshot()
    time.sleep(seconds)
    after = snapshot()
    span = after[0] - before[0]
    count = len(daemons)
    log = {key: (after[2][key] - before[2][key]) / span for key in after[2]}
    sent, received = [[(after[4][process.pid][column] - before[4][process.pid][column]) / span
                       for process in daemons] for column in (0, 1)]
    return {
        "seconds": round(span, 1),
        "core_percent_median": median([100 * (b - a) / span
                                       for a, b in zip(before[1], after[1])]),
        "core_percent_worst": round(max(100 * (b - a) / span
                                        for a, b in zip(before[1], after[1])), 2),
        "rss_mb_median": round(median([rss_kb(process.pid) for process in daemons]) / 1024, 1),
        "descriptors_median": median([descriptors(process.pid) for process in daemons]),
        "membership_sent_bps": round(sum(after[3][i] - before[3][i]
                                         for i in range(count)) / count / span, 1),
        "log_sent_bps": median(sent),
        "log_received_bps": median(received),
        "log_reads_per_s": round(log["total_reads"], 2),
        "log_appends_per_s": round(log["total_appends"], 3),
        "log_read_body_bps": round(log["read_bytes"], 1),
    }


def measure_publications(deployment, count):
    times = []
    for mark in range(1, count + 1):
        times += deployment.effect_times(deployment.publish(document(mark)))
        time.sleep(0.5)
    return {"publications": count, "effect_s_median": median(times),
            "effect_s_worst": round(max(times), 3)}


def start_counters(deployment, before, started):
    after = deployment.log_counters()
    return {"start_s": round(time.monotonic() - started, 1),
            "start_appends": after["total_appends"] - before["total_appends"],
            "start_reads": after["total_reads"] - before["total_reads"],
            "start_read_bytes": after["read_bytes"] - before["read_bytes"]}


def run_size(options, count):
    with Deployment(options) as deployment:
        deployment.start_log()
        deployment.publish(document())
        before = deployment.log_counters()
        started = time.monotonic()
        for index in range(count):
            deployment.start_daemon(index, f"service-{index % SERVICES:02}")
        deployment.wait(count)
        result = {"daemons": count, **start_counters(deployment, before, started)}
        time.sleep(10)
        result.update(measure_idle(deployment, options.seconds))
        result.update(measure_publications(deployment, options.publications))
        return result


def received_datagram_bytes(path):
    """Datagram bytes that the fake members have sent to the real daemon so far."""
    with open(path, encoding="ascii") as out:
        return int(re.findall(r"got (\d+) bytes", out.read())[-1])


def crowd_elapsed_seconds(path):
    with open(path, encoding="ascii") as out:
        return int(re.findall(r"^(\d+) s: .* knows \d+$", out.read(), re.M)[-1])


def run_crowd(options, count):
    with Deployment(options) as deployment:
        deployment.start_log()
        deployment.publish(document())
        deployment.start("member_crowd", str(count - 1), deployment.log_address(),
                         str(deployment.crowd_port), "0", str(options.services))
        deadline = time.monotonic() + 60
        while deployment.log_counters()["total_appends"] < count + 1:
            if time.monotonic() > deadline:
                raise RuntimeError("the fake members did not append their records to the log within 60 s")
            time.sleep(0.1)
        before = deployment.log_counters()
        started = time.monotonic()
        deployment.start_daemon(0, "service-00")
        deployment.wait(count)
        result = {"members": count, **start_counters(deployment, before, started)}
        time.sleep(15)
        crowd_out = os.path.join(deployment.work, "member_crowd.out")
        before = received_datagram_bytes(crowd_out)
        result.update(measure_idle(deployment, options.seconds))
        result["membership_received_bps"] = round((received_datagram_bytes(crowd_out) - before) /
                                                  result["seconds"], 1)
        return result


def run_stream(options, records):
    """Starts a daemon on a production stream of `records` documents."""
    with Deployment(options) as deployment:
        deployment.start_log()
        for mark in range(records):
            version = deployment.publish(document(mark))
        before = deployment.log_counters()
        deployment.start_daemon(0, "service-00")
        deployment.wait(1)
        deployment.effect_times(version)
        after = deployment.log_counters()
        pid = deployment.daemons[0].pid
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            peak = int(re.search(r"VmHWM:\s+(\d+)", status.read()).group(1))
        return {"records": records, "read_bytes": after["read_bytes"] - before["read_bytes"],
                "reads": after["total_reads"] - before["total_reads"],
                "peak_rss_mb": round(peak / 1024, 1), "core_s": cpu_seconds(pid)}


def run_return(options, returning):
    """Partitions `returning` fake members from the daemon and all others for 60 s."""
    with Deployment(options) as deployment:
        deployment.start_log()
        deployment.publish(document())
        deployment.start("member_crowd", str(options.members - 1), deployment.log_address(),
                         str(deployment.crowd_port), str(returning))
        time.sleep(5)
        deployment.start_daemon(0, "service-00")
        deployment.wait(options.members)
        crowd_out = os.path.join(deployment.work, "member_crowd.out")
        while crowd_elapsed_seconds(crowd_out) < 115:
            time.sleep(0.2)
        alive = [ready_members(deployment)]
        recovery_s = None
        rows = [(received_datagram_bytes(crowd_out), deployment.membership_bytes(0),
                 cpu_seconds(deployment.daemons[0].pid))]
        for _ in range(80):
            time.sleep(1)
            rows.append((received_datagram_bytes(crowd_out), deployment.membership_bytes(0),
                         cpu_seconds(deployment.daemons[0].pid)))
            alive.append(ready_members(deployment))
            if recovery_s is None and crowd_elapsed_seconds(crowd_out) >= 120 and \
                    alive[-1] >= options.members:
                recovery_s = crowd_elapsed_seconds(crowd_out) - 120
        deltas = [[b[column] - a[column] for a, b in zip(rows, rows[1:])]
                 for column in range(3)]
        return {"members": options.members, "returning": returning,
                "alive_during_cut": alive[0], "all_alive_after_s": recovery_s,
                "alive_every_10_s": alive[5::10],
                "received_bps_worst_second": round(max(deltas[0])),
                "received_bps_mean": round(statistics.mean(deltas[0])),
                "sent_bps_worst_second": round(max(deltas[1])),
                "sent_bps_mean": round(statistics.mean(deltas[1])),
                "core_percent_worst_second": round(100 * max(deltas[2]), 1),
                "core_percent_mean": round(100 * statistics.mean(deltas[2]), 2)}


def ready_members(deployment):
    return json.loads(http_request(deployment.port(0, 3), "GET",
                                   "/.bronzeroute/v1/status"))["ready_members"]


def start_pair(deployment, slots=64, queue_limit=24, deadline_ms=60000):
    """Starts daemon 0 with a worker of service `near` and, in another zone, daemon 1 of `far`."""
    deployment.start_log()
    deployment.publish(document(services=["near", "far"], slots=slots, queue_limit=queue_limit,
                                deadline_ms=deadline_ms))
    deployment.start_daemon(0, "near", slots)
    deployment.start_daemon(1, "far", slots)
    deployment.wait(2)


def run_calls(options, rate):
    result = {"calls_per_s": rate}
    with Deployment(options) as deployment:
        start_pair(deployment)
        time.sleep(3)
        idle = [cpu_seconds(process.pid) for process in deployment.daemons]
        time.sleep(5)
        idle = [(cpu_seconds(process.pid) - start_value) / 5
                for process, start_value in zip(deployment.daemons, idle)]
        for name, target in (("own", 0), ("hop", 1)):
            for round_number in range(options.turns):
                before = [cpu_seconds(process.pid) for process in deployment.daemons]
                started = time.monotonic()
                load = subprocess.run(
                    [os.path.join(deployment.bin, "brload"), "--target",
                     f"127.0.0.1:{deployment.port(target)}", "--short-path",
                     "/near/x?work_us=1000", "--short", str(rate), "--duration",
                     str(options.seconds), "--seed", str(round_number + 1), "--json"],
                    check=True, capture_output=True, text=True)
                span = time.monotonic() - started
                outcomes = json.loads(load.stdout)["short"]["outcomes"]
                calls = sum(outcomes.values())
                per_call = [
                    round(1e6 * (cpu_seconds(process.pid) - start_value - idle_rate * span) / calls)
                    for process, start_value, idle_rate in zip(deployment.daemons, before, idle)]
                row = result.setdefault(name, {"owner_us": [], "entry_us": [], "outcomes": []})
                row["owner_us"].append(per_call[0])
                if target == 1:
                    row["entry_us"].append(per_call[1])
                row["outcomes"].append(outcomes)
    return result


def open_calls(port, path, count, headers=""):
    """Sends `count` requests, each on a new connection, and returns the open connections."""
    sockets = []
    for number in range(count):
        connection = socket.create_connection(("127.0.0.1", port))
        connection.sendall((f"POST {path} HTTP/1.1\r\nHost: capacity\r\nContent-Length: 0\r\n"
                            + headers.format(number=number) + "\r\n").encode())
        sockets.append(connection)
        time.sleep(0.002)
    return sockets


def run_memory(options):
    result = {}

    def rss_sizes(deployment):
        return [rss_kb(process.pid) for process in deployment.daemons]

    for name, slots in (("open", 2000), ("queued", 1)):
        with Deployment(options) as deployment:
            start_pair(deployment, slots=slots, queue_limit=2000, deadline_ms=300000)
            # Requests on both daemons before the first measurement, as warm-up.
            warm_up_calls = open_calls(deployment.port(1), "/near/x?work_us=1000", 20)
            time.sleep(1)
            before = rss_sizes(deployment)
            rows = []
            sockets = warm_up_calls
            for step in range(4):
                work_us = 60_000_000
                sockets += open_calls(deployment.port(1), f"/near/x?work_us={work_us}", 200)
                time.sleep(1.5)
                status = json.loads(http_request(deployment.port(0, 3), "GET",
                                                 "/.bronzeroute/v1/status"))
                rows.append({"calls": 200 * (step + 1), "running": status["running"],
                             "queued": status["queued"],
                             "owner_kb": rss_sizes(deployment)[0] - before[0],
                             "entry_kb": rss_sizes(deployment)[1] - before[1]})
            result[name] = rows
            for connection in sockets:
                connection.close()
    with Deployment(options) as deployment:
        start_pair(deployment, slots=64)
        rows = []

        def load(path, keys, seed):
            subprocess.run([os.path.join(deployment.bin, "brload"), "--target",
                            f"127.0.0.1:{deployment.port(0)}", "--protected-path", path,
                            "--short", "0", "--protected", "300", "--duration", "10", "--keys",
                            keys, "--seed", str(seed)], check=True, capture_output=True)
            return rss_sizes(deployment)[0]

        load("/near/route-1?work_us=500", "none", 1)
        base = load("/near/route-1?work_us=500", "none", 2)
        for round_number in range(3):
            rows.append({"calls": 3000 * (round_number + 1), "without_keys_kb":
                         load("/near/route-1?work_us=500", "none", 3 + round_number) - base})
        base = rss_sizes(deployment)[0]
        for round_number in range(3):
            rows.append({"calls": 3000 * (round_number + 1), "with_keys_kb":
                         load("/near/route-0?work_us=500", "own", 6 + round_number) - base})
        result["keys"] = rows
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--json", help="file to which each result is appended as one JSON line")
    parser.add_argument("--seconds", type=int, default=20, help="length of each reading in seconds")
    parser.add_argument("--first-port", type=int, default=20990, help="first port; about 1600 ports from it are used")
    parser.add_argument("--publications", type=int, default=8)
    parser.add_argument("--members", type=int, default=540, help="members of `return`")
    parser.add_argument("--services", type=int, default=SERVICES, help="services of `crowd`")
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("command", choices=["sizes", "crowd", "return", "stream", "calls", "memory"])
    parser.add_argument("numbers", nargs="*", type=int)
    options = parser.parse_args()
    # Raises SystemExit on SIGTERM, so that `Deployment` ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    commands = {"sizes": run_size, "crowd": run_crowd, "calls": run_calls,
                "return": run_return, "stream": run_stream}
    if options.command == "memory":
        results = [run_memory(options)]
    else:
        results = (commands[options.command](options, number) for number in options.numbers)
    for result in results:
        line = json.dumps({"command": options.command, **result})
        print(line, flush=True)
        if options.json:
            with open(options.json, "a", encoding="ascii") as out:
                out.write(line + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
