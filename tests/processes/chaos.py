"""Injects random faults into real processes, and checks the guarantees from outside.

Run with ``make chaos SEED=1 SECONDS=60``; the same seed selects the same faults in
the same order.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import tempfile
from collections import Counter
from pathlib import Path

from standins.text import expected_text

from .deployment import CONNECTION_ERRORS, Deployment, async_deploy, async_start_all
from .scenarios import async_stream

SETTLE_S = 90.0
INITIAL_MODELS = {
    "m": {"memory_mb": 40},
    "n": {"memory_mb": 30},
    "o": {"memory_mb": 55},
}
UPDATED_MODELS = {
    "m": {"memory_mb": 40, "version": 2},
    "n": {"memory_mb": 30},
    "o": {"memory_mb": 55},
    "p": {"memory_mb": 20},
}
FAULTS_OFF = {
    "lose_orders": 0,
    "late_orders": 0,
    "lose_order_replies": 0,
    "cut_answers": 0,
    "wrong_ids": 0,
    "late_answers": 0,
    "errors": 0,
    "freeze": False,
}


class Chaos:
    """A run with load and faults, and the outcomes and violations it observed."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._stop = asyncio.Event()
        self._version = 0
        self.faults: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self._not_run_ids: set[str] = set()
        self._outcomes_by_key: dict[str, set[str]] = {}
        self.violations: list[str] = []

    async def async_run(self) -> None:
        await self._async_start()
        workers = [asyncio.ensure_future(self._async_send_load(n)) for n in range(6)]
        workers += [
            asyncio.ensure_future(self._async_send_keyed_requests(n)) for n in range(3)
        ]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        while loop.time() < end_s:
            await self._async_inject()
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await self._async_clear_faults()
        await asyncio.sleep(2)
        self._stop.set()
        await asyncio.gather(*workers)
        await self._async_check_guarantees()

    async def _async_start(self) -> None:
        deployment = self._deployment
        for number in range(1, 5):
            deployment.start_engine(
                number, "ab"[number % 2], checks_fencing=number != 4
            )
        deployment.start_service(1)
        await async_start_all(
            deployment, gateways=3, director_extra="order_lateness_s = 20\n"
        )
        await self._async_apply()
        await deployment.async_until_served(*INITIAL_MODELS)

    async def _async_apply(self) -> None:
        models = UPDATED_MODELS if self._version % 2 else INITIAL_MODELS
        text = self._deployment.fleet_text(models)
        code, answer = await self._deployment.async_apply(text, self._version)
        if code == 0:
            self._version = answer["version"]
        elif code in (1, 3, 4):
            _, history = await self._deployment.async_cli("history")
            versions = history.get("versions", [])
            found = max((v["version"] for v in versions), default=self._version)
            if found < self._version:
                self.violations.append(f"version went down to {found}")
            self._version = max(found, self._version)

    async def _async_send_load(self, worker: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            model, prompt = "mno"[number % 3], f"{worker} {number}"
            gateway = 1 + (worker + number) % 3
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self._async_send_completion(
                    model, prompt, gateway, number % 2 == 0
                )
            await asyncio.sleep(0.02)

    async def _async_send_completion(self, model, prompt, gateway, is_stream) -> None:
        expected = expected_text(model, prompt, 6)
        if is_stream:
            status, text, has_end = await async_stream(
                self._deployment, model, prompt, 6, gateway
            )
            is_complete = status == 200 and has_end
            if not expected.startswith(text) or (is_complete and text != expected):
                self.violations.append(f"stream {prompt}: {text!r}")
            self.outcomes["complete" if is_complete else "incomplete stream"] += 1
            return
        status, headers, body = await self._deployment.async_complete(
            model, prompt, gateway=gateway, max_tokens=6
        )
        outcome = headers.get("Chutelink-Outcome", "complete")
        self.outcomes[outcome] += 1
        if status == 200 and body["choices"][0]["message"]["content"] != expected:
            self.violations.append(f"answer {prompt}: {body}")
        if outcome == "not-run":
            self._not_run_ids.add(headers["X-Request-Id"])

    async def _async_send_keyed_requests(self, worker: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            key = f"{worker}-{number}"
            for attempt in range(6):
                try:
                    status, headers, _ = await self._deployment.async_call_service(
                        "POST",
                        "permits",
                        gateway=1 + (worker + attempt) % 3,
                        idempotency_key=key,
                        body=key,
                    )
                except CONNECTION_ERRORS:
                    continue
                outcome = headers.get("Chutelink-Outcome", "done")
                self._outcomes_by_key.setdefault(key, set()).add(outcome)
                self.outcomes[f"keyed {outcome}"] += 1
                if outcome != "not-run":
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(0.05)

    async def _async_inject(self) -> None:
        action = self._rng.choice(
            [
                self._async_engine_fault,
                self._async_engine_fault,
                self._async_platform_fault,
                self._async_process_fault,
                self._async_service_fault,
                self._async_change_fleet,
            ]
        )
        with contextlib.suppress(*CONNECTION_ERRORS):
            await action()

    async def _async_engine_fault(self) -> None:
        fault = self._rng.choice(
            [
                {"lose_orders": 2},
                {"late_orders": 2, "late_order_s": 3.0},
                {"lose_order_replies": 2},
                {"cut_answers": 3},
                {"wrong_ids": 3},
                {"late_answers": 3},
                {"errors": 3},
                {"freeze": True},
                FAULTS_OFF,
            ]
        )
        name = self._rng.choice(sorted(self._deployment.engines))
        self.faults["engine " + next(iter(fault))] += 1
        await self._deployment.async_set_faults(
            self._deployment.engines[name]["url"], **fault
        )

    async def _async_platform_fault(self) -> None:
        fault = self._rng.choice(
            [
                {"table_out": True},
                {"table_out": False, "objects_out": False, "delay_s": 0.0},
                {"objects_out": True},
                {"lose_replies": 2},
                {"late_writes": 2, "late_write_s": 2.0},
                {"delay_s": 0.2},
                {"vms_out": True},
            ]
        )
        self.faults["platform " + next(iter(fault))] += 1
        await self._deployment.async_set_faults(self._deployment.platform_url, **fault)

    async def _async_process_fault(self) -> None:
        names = ["gateway-1", "gateway-2", "gateway-3", "director-1", "director-2"]
        name = self._rng.choice([*names, "engine-1", "engine-4"])
        process = self._deployment.processes[name]
        kind = self._rng.choice(["kill", "freeze", "terminate"])
        self.faults[f"{kind} {name[:-2]}"] += 1
        if kind == "freeze":
            process.freeze()
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            process.resume()
            return
        if kind == "terminate":
            process.terminate()
            await process.async_wait()
        else:
            process.kill()
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        self._restart(name)

    def _restart(self, name: str) -> None:
        kind, number = name.split("-")
        domain = "ab"[(int(number) - 1) % 2]
        if kind == "gateway":
            self._deployment.start_gateway(int(number), domain)
        elif kind == "director":
            extra = "order_lateness_s = 20\n"
            self._deployment.start_director(int(number), domain, extra)
        else:
            self._deployment.start_engine(
                int(number), "ab"[int(number) % 2], checks_fencing=number != "4"
            )

    async def _async_service_fault(self) -> None:
        fault = self._rng.choice(
            [{"cut_answers": 1}, {"cut_before_run": 1}, {"wrong_ids": 1}]
        )
        self.faults["service " + next(iter(fault))] += 1
        url = self._deployment.services["service-1"]
        await self._deployment.async_set_faults(url, **fault)

    async def _async_change_fleet(self) -> None:
        if self._rng.random() < 0.5:
            self.faults["apply"] += 1
            await self._async_apply()
            return
        leaving = self._rng.choice([(), ("vm-engine-1",), ("vm-engine-3",)])
        self.faults["vm leaving" if leaving else "vms back"] += 1
        await self._deployment.async_set_vms(leaving)

    async def _async_clear_faults(self) -> None:
        deployment = self._deployment
        await deployment.async_set_faults(
            deployment.platform_url,
            table_out=False,
            objects_out=False,
            vms_out=False,
            delay_s=0.0,
            lose_replies=0,
            late_writes=0,
        )
        for values in deployment.engines.values():
            await deployment.async_set_faults(values["url"], **FAULTS_OFF)
        await deployment.async_set_vms()

    async def _async_check_guarantees(self) -> None:
        deployment = self._deployment
        for name, stats in (await deployment.async_engine_stats()).items():
            if stats["overcommits"]:
                self.violations.append(f"{name}: {stats['overcommits']}")
        reached = set(await deployment.async_received_ids())
        if reached & self._not_run_ids:
            self.violations.append(
                f"refused as not-run, but ran: {reached & self._not_run_ids}"
            )
        url = deployment.services["service-1"]
        runs = Counter(
            run["idempotency_key"]
            for run in await deployment.async_get(f"{url}/standin/executions")
        )
        for key, count in runs.items():
            if count > 1:
                self.violations.append(f"key {key} ran {count} times")
        for key, outcomes in self._outcomes_by_key.items():
            if outcomes == {"not-run"} and runs[key]:
                self.violations.append(f"key {key} was refused as not-run, but ran")
        await self._async_check_recovery()

    async def _async_check_recovery(self) -> None:
        try:
            async with asyncio.timeout(SETTLE_S):
                for gateway in (1, 2, 3):
                    await self._deployment.async_until_served(
                        *INITIAL_MODELS, gateway=gateway
                    )
                while not await self._async_is_settled():
                    await asyncio.sleep(0.5)
        except TimeoutError:
            _, status = await self._deployment.async_cli("status")
            self.violations.append(f"not settled after {SETTLE_S} s: {status}")
        for url in [
            *(self._deployment.gateway_url(n) for n in (1, 2, 3)),
            *(self._deployment.director_url(n) for n in (1, 2)),
        ]:
            try:
                async with self._deployment.session.get(f"{url}/metrics") as response:
                    text = await response.text()
            except CONNECTION_ERRORS as error:
                self.violations.append(f"{url} does not respond: {error}")
                continue
            if "chutelink_invariant_violations_total{" in text:
                self.violations.append(f"{url} counted violations of an invariant")

    async def _async_is_settled(self) -> bool:
        _, status = await self._deployment.async_cli("status")
        daemons = status["daemons"]
        states = [(d["version"], d["confirmed"]) for d in daemons]
        has_replicas = all(count > 0 for count in status["replicas"].values())
        return states == [(status["version"], True)] * 5 and has_replicas


async def async_run_chaos(directory: Path, seed: int, seconds: float) -> Chaos:
    """Run with a seed and return the completed run."""
    async with async_deploy(directory) as deployment:
        chaos = Chaos(deployment, seed, seconds)
        await chaos.async_run()
        return chaos


def main() -> int:
    """Run from the command line, and print the faults, outcomes and violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--keep-logs", type=Path, default=None)
    args = parser.parse_args()
    print(f"seed={args.seed} seconds={args.seconds:g}", flush=True)
    directory = args.keep_logs or Path(tempfile.mkdtemp())
    directory.mkdir(parents=True, exist_ok=True)
    chaos = asyncio.run(async_run_chaos(directory, args.seed, args.seconds))
    print("faults:", dict(sorted(chaos.faults.items())))
    print("outcomes:", dict(sorted(chaos.outcomes.items())))
    for violation in chaos.violations:
        print("VIOLATION:", violation)
    print(f"{len(chaos.violations)} violations")
    return 1 if chaos.violations else 0


if __name__ == "__main__":
    raise SystemExit(main())
