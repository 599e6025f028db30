"""The faults of a soak's servers."""

import asyncio
from typing import Final

from standins.fleet import ENGINE_SERVICE, PLAIN_SERVICE
from standins.fleet_server import Behaviour, FleetServer
from standins.refusals import ANY, COPIES
from standins.soak.load import MAX_SIZE, LoadGenerator
from standins.soak.promises import PAUSE, SOUND_SILENCE_S
from standins.soak.targets import Fault, Preparation, Targets

SERVER_FAULTS: Final = (
    "error",
    "shed",
    "mute",
    "cut",
    "reset",
    "lost",
    "unsigned",
    "stray",
    "endless",
)
SILENCE_S: Final = (1.0, 2.5)
# How long sound servers do nothing, and which share of a service's servers.
PAUSE_S: Final = (0.8, SOUND_SILENCE_S)
PAUSED_RATIO: Final = (0.5, 1.0)
# How long the entry of a server that lives on is missing.
LAPSED_S: Final = (2.0, 5.0)
# How long a server announces that it leaves, and drains after that.
ANNOUNCED_S: Final = (1.0, 2.0)
DRAINING_S: Final = (3.0, 4.0)
# How long requests come under which servers crash.
CRASHING_INPUT_S: Final = (3.0, 12.0)
# The routes of which a whole request crashes servers.
PLAIN_ROUTES: Final = ("/read/", "/pay/")
# The limits that servers name, in requests a second, and for how long.
LIMITS_PER_S: Final = (0.5, 1.0, 4.0, 15.0)
LIMIT_NAMED_S: Final = (6.0, 12.0)
# Which share of requests full servers refuse, and for how long.
REFUSE_RATIO: Final = (0.1, 0.6)
REFUSING_S: Final = (3.0, 8.0)
# How long the entry of a server stands that has started under another id.
LISTED_S: Final = (1.0, 4.0)
POLL_INTERVAL_S: Final = 0.05


class ServerFaults:
    """Prepares faults of servers."""

    def __init__(self, targets: Targets, load: LoadGenerator) -> None:
        self._targets = targets
        self._world = targets.world
        self._rng = targets.rng
        self._load = load
        self.choices: dict[str, Preparation] = {
            "crash": self._prepare_crash,
            "drain": self._prepare_drain,
            "lapse": self._prepare_lapse,
            "leaving": self._prepare_leaving,
            "spoiled": self._prepare_spoiled,
            "silence": self._prepare_silence,
            PAUSE: self._prepare_pause,
            "refusals": self._prepare_refusals,
            "reborn": self._prepare_reborn,
            "limit": self._prepare_limit,
            "until close": self._prepare_until_close,
            "crashing part": self._prepare_crashing_part,
            "crashing request": self._prepare_crashing_request,
        }

    def _prepare_crash(self) -> Fault | None:
        server = self._targets.pick_server()
        if server is None:
            return None
        listed = self._rng.random() < 0.5
        interval = self._targets.begin_fault(server.server_id, "crash")

        async def crash() -> None:
            self._world.links[server.server_id].close()
            await server.async_unload()
            if not listed:
                self._world.fleet.withdraw(server)
            await asyncio.sleep(self._rng.uniform(0.5, 5))
            await self._async_start_again(server)
            self._targets.end_fault(interval)

        return crash

    async def _async_start_again(self, server: FleetServer) -> None:
        server.born += 1
        await server.async_setup()
        await self._world.async_register_again(server)

    def _prepare_drain(self) -> Fault | None:
        server = self._targets.pick_server()
        if server is None:
            return None
        interval = self._targets.begin_fault(server.server_id, "drain")

        async def drain() -> None:
            self._world.register(server, "draining")
            await asyncio.sleep(self._rng.uniform(4, 8))
            self._targets.end_fault(interval)
            self._world.register(server)

        return drain

    def _prepare_lapse(self) -> Fault | None:
        """Let a server's entry be gone for a time, and come back."""
        server = self._targets.pick_server()
        if server is None:
            return None
        interval = self._targets.begin_fault(server.server_id, "lapse")

        async def lapse() -> None:
            self._world.fleet.withdraw(server)
            await asyncio.sleep(self._rng.uniform(*LAPSED_S))
            self._targets.end_fault(interval)
            self._world.register(server)

        return lapse

    def _prepare_leaving(self) -> Fault | None:
        """Let a server announce in its answers that it leaves, and leave."""
        server = self._targets.pick_server()
        if server is None:
            return None
        interval = self._targets.begin_fault(server.server_id, "leaving")

        async def leave() -> None:
            server.announces_leaving = True
            await asyncio.sleep(self._rng.uniform(*ANNOUNCED_S))
            self._world.register(server, "draining")
            await asyncio.sleep(self._rng.uniform(*DRAINING_S))
            while server.is_down:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
            self._world.links[server.server_id].close()
            await server.async_unload()
            server.announces_leaving = False
            await self._async_start_again(server)
            self._targets.end_fault(interval)

        return leave

    def _prepare_spoiled(self) -> Fault | None:
        server = self._targets.pick_server()
        if server is None:
            return None
        how = self._rng.choice(SERVER_FAULTS)
        interval = self._targets.begin_fault(server.server_id, "spoiled", how)
        behaviour: Behaviour = server.behaviour
        behaviour.how, behaviour.count = how, self._rng.randint(1, 6)

        async def apply_fault() -> None:
            await asyncio.sleep(self._rng.uniform(1, 5))
            behaviour.count = 0
            self._targets.end_fault(interval)

        return apply_fault

    def _prepare_silence(self) -> Fault | None:
        """Let a sound server do nothing for a time, and then go on."""
        server = self._targets.pick_server()
        if server is None:
            return None
        silent_s = self._rng.uniform(*SILENCE_S)
        interval = self._targets.begin_fault(
            server.server_id, "silence", f"{silent_s:.1f} s"
        )

        async def fall_silent() -> None:
            await server.async_fall_silent(silent_s)
            self._targets.end_fault(interval)

        return fall_silent

    def _sound_servers(self) -> tuple[list[FleetServer], int]:
        """Return the undisturbed servers of a service, and a share of them."""
        service = self._rng.choice((ENGINE_SERVICE, PLAIN_SERVICE))
        sound = [
            server
            for server in self._world.fleet.servers
            if server.service == service
            and self._targets.is_undisturbed(server)
        ]
        return sound, round(len(sound) * self._rng.choice(PAUSED_RATIO))

    def _prepare_refusals(self) -> Fault | None:
        """Let servers of a service refuse requests, with copies too many."""
        ratio = self._rng.uniform(*REFUSE_RATIO)
        refusing = self._rng.sample(*self._sound_servers())
        intervals = [
            self._targets.begin_fault(s.server_id, "refusals", f"{ratio:.1f}")
            for s in refusing
        ]

        async def refuse() -> None:
            for server in refusing:
                await _async_set_refusals(server, ratio, ANY)
            await asyncio.sleep(self._rng.uniform(*REFUSING_S))
            for server in refusing:
                await _async_set_refusals(server, 0.0, "")
            for interval in intervals:
                self._targets.end_fault(interval)

        return refuse if refusing else None

    def _prepare_reborn(self) -> Fault | None:
        """Let a server restart under another id, beside its old entry."""
        server = self._targets.pick_server()
        if server is None:
            return None
        copies = self._rng.choice(("", *COPIES))
        interval = self._targets.begin_fault(
            server.server_id, "reborn", copies
        )

        async def be_reborn() -> None:
            server.behaviour.copies = copies
            await self._world.async_start_under_other_id(
                server, self._rng.uniform(*LISTED_S)
            )
            await _async_set_refusals(server, 0.0, "")
            self._targets.end_fault(interval)

        return be_reborn

    def _prepare_pause(self) -> Fault | None:
        """Let many sound servers of a service do nothing for a second.

        No caller may notice more than the time that this takes, so it opens
        the intervals of the servers' faults only for the time limits.
        """
        sound, count = self._sound_servers()
        if not count:
            return None
        paused_s = self._rng.uniform(*PAUSE_S)
        paused = self._rng.sample(sound, count)
        intervals = [
            self._targets.begin_fault(s.server_id, PAUSE, f"{paused_s:.1f} s")
            for s in paused
        ]

        async def pause() -> None:
            await asyncio.gather(
                *(server.async_fall_silent(paused_s) for server in paused)
            )
            for interval in intervals:
                self._targets.end_fault(interval)

        return pause

    def _prepare_limit(self) -> Fault | None:
        """Let a server name a limit in its answers for a time."""
        server = self._targets.pick_server()
        if server is None:
            return None
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        interval = self._targets.begin_fault(
            server.server_id, "limit", f"{limit_per_s:g} a second"
        )

        async def name_limit() -> None:
            server.limit_per_s = limit_per_s
            await asyncio.sleep(self._rng.uniform(*LIMIT_NAMED_S))
            server.limit_per_s = None
            self._targets.end_fault(interval)

        return name_limit

    def _prepare_until_close(self) -> Fault | None:
        """Let a server end its answers with their connections.

        No caller may notice this, so it opens no fault interval.
        """
        server = self._rng.choice(self._world.fleet.servers)
        self._world.report.record_fault("until close", server.server_id)

        async def answer_until_close() -> None:
            server.behaviour.until_close = True
            await asyncio.sleep(self._rng.uniform(1, 6))
            server.behaviour.until_close = False

        return answer_until_close

    def _prepare_crashing_part(self) -> Fault | None:
        """Let requests come under which servers crash."""
        if self._load.crashing_part:
            return None
        part = f"{self._rng.getrandbits(32):08x}"
        self._world.report.record_fault("crashing part", part)
        self._world.fleet.crashing_inputs.add(part)
        self._load.crashing_part = part

        async def send_crashing_part() -> None:
            await asyncio.sleep(self._rng.uniform(*CRASHING_INPUT_S))
            self._load.crashing_part = ""
            await self._async_servers_up()

        return send_crashing_part

    def _prepare_crashing_request(self) -> Fault | None:
        """Let one request come again and again under which servers crash."""
        if self._load.crashing_request:
            return None
        route = self._rng.choice(PLAIN_ROUTES)
        size = MAX_SIZE + len(self._world.fleet.crashing_inputs)
        target = f"{route}{size}"
        self._world.report.record_fault("crashing request", target)
        self._world.fleet.crashing_inputs.add(target)
        self._load.crashing_request = route, size

        async def send_crashing_request() -> None:
            await asyncio.sleep(self._rng.uniform(*CRASHING_INPUT_S))
            self._load.crashing_request = None
            await self._async_servers_up()

        return send_crashing_request

    async def _async_servers_up(self) -> None:
        while any(s.is_down for s in self._world.fleet.servers):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)


async def _async_set_refusals(
    server: FleetServer, ratio: float, copies: str
) -> None:
    server.behaviour.refuse_ratio = ratio
    server.behaviour.copies = copies
    await server.async_apply_behaviour()
