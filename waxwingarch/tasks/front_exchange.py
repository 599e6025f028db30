"""Forwards one exchange to backend servers and the response back."""

import asyncio
from dataclasses import dataclass, field
from math import isfinite
from typing import Any, Final

import orjson
from eliot import log_message, write_traceback

from waxwingarch.adapters.event_split import EventBatch, EventSplitter
from waxwingarch.adapters.held_bytes import FREE_BYTES, NoRoomError
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ClientStream,
    ConnectFailedError,
    ConnectionUse,
    CutLinkError,
    EndlessResponseError,
    InvalidBytesError,
    SilentLinkError,
)
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.sse import BadEventError
from waxwingarch.const import BACKEND_CONNECT_TIMEOUT_S, LOGGED_DECIMALS
from waxwingarch.core.backends.brittle_servers import BrittlenessSeen
from waxwingarch.core.backends.cold_reading import NO_READING
from waxwingarch.core.backends.cold_servers import ColdStateSeen
from waxwingarch.core.backends.registry import LeavingAnnounced
from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.backends.server_limits import ServerLimitSeen
from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.exchange.exchange_manager import (
    SERVER_ACTIVE_WITHIN_S,
)
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
    ServerActivity,
    ServerSilent,
    SilenceLasts,
)
from waxwingarch.core.exchange.silence import Silence
from waxwingarch.exceptions import LinkError
from waxwingarch.ports.front import ExchangeCodec, ResponseHead
from waxwingarch.tasks.front_checks import async_check_ended
from waxwingarch.tasks.runner import FrontRunner

# A non-idempotent request needs a new connection or one that was just in
# use: the server may close an idle one at the moment of sending.
FRESH_CONNECTION_MAX_IDLE_S: Final = 0.5
POOLED_CONNECTION_MAX_IDLE_S: Final = 4.0
# While a server sends other responses, the wait for a slow one is extended
# in steps of this length.
FIRST_BYTE_POLL_S: Final = 0.3
# Interval of the decisions whether to leave a stream that has paused for too
# long.
SILENCE_POLL_S: Final = 0.2
# The events of a stream are reported as activity at most this often.
ACTIVITY_REPORT_INTERVAL_S: Final = 0.2
# At most this many responses to earlier requests are skipped before the one
# to this request.
MAX_STRAY_RESPONSES: Final = 16
# The largest response of a server that is not streamed, and the largest body
# of an error response or a rejection.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
MAX_ERROR_BYTES: Final = 64 * 1024
# The body of a rejection is short, and so is that of an error response: the
# rest of it is awaited for this long where nothing depends on it.
SHORT_BODY_TIMEOUT_S: Final = 1.0

# After a connection broke, the next one to its server is awaited for this
# long where the request is not held up for more: a sound one takes
# milliseconds.
NEXT_CONNECTION_TIMEOUT_S: Final = 0.1

# Interval of the checks whether a migration has ended.
MIGRATION_POLL_S: Final = 0.05

# Errors after which this host closes a connection that the server left open.
CLOSED_BY_HOST: Final = (
    BadEventError,
    EndlessResponseError,
    InvalidBytesError,
    NoRoomError,
)

# Statuses that tell a caller that its request did not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Statuses with which a host refuses a request that no server ran.
REFUSED_STATUSES: Final = frozenset({429, 503})
HTTP_SUCCESS_MIN: Final = 200
HTTP_SUCCESS_MAX: Final = 299


@dataclass(kw_only=True, slots=True)
class FailureResponse:
    """A server's complete error response.

    It is forwarded to the caller if no later attempt succeeds.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(kw_only=True, slots=True)
class ResponseState:
    """The part of the response that the caller has, over all attempts.

    `last_event` is the id of the last event that was passed on, None if it
    had none, so that the stream can't be resumed. `status` and
    `content_type` are those that the response began with. `failure`
    is the latest error response that can be forwarded. `sent_at`,
    `ended_by_close`, `on_new_connection`, `connection`,
    `is_silence_reported` and `served_by`, the server that a peer names, are
    about the current attempt.
    """

    response_started: bool = False
    last_event: int | None = None
    status: int = 0
    content_type: str = ""
    failure: FailureResponse | None = None
    ended_by_close: bool = False
    on_new_connection: bool = True
    connection: ConnectionUse | None = None
    sent_at: float = float("-inf")
    served_by: ServerId | None = None
    is_silence_reported: bool = False
    activity_reported_at: float = field(default=float("-inf"))


def _is_refused_by_peer(head: ResponseHead, send: SendRequest) -> bool:
    """Return whether a peer says that no server ran the request."""
    return (
        send.relay_to is not None
        and not head.is_authentic
        and head.status in REFUSED_STATUSES
    )


def _may_lack_id(head: ResponseHead, send: SendRequest) -> bool:
    """Return whether a peer's response needs no id to be the right one.

    A refusal does, as a resend depends on it: peers of an older version
    send none.
    """
    return send.relay_to is not None and not _is_refused_by_peer(head, send)


def _content_type(stream: ClientStream) -> str:
    """Return the media type of a response, without its parameters."""
    value = stream.headers.get("content-type", "")
    return value.partition(";")[0].strip().lower()


def _check_text(stream: ClientStream, body: bytes, send: SendRequest) -> None:
    """Raise `BadResponseError` if a body breaks off, as far as it shows."""
    media_type = _content_type(stream)
    if not (media_type == JSON_TYPE[1] or media_type.endswith("+json")):
        return
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise BadResponseError(
            f"{send.server.address}: incomplete body: {exc}"
        ) from exc


class BadResponseError(LinkError):
    """A response is incomplete, not authentic or not for this request."""


class ExchangeForwarder:
    """Carries out the attempts of one exchange that the node orders."""

    def __init__(
        self,
        runner: FrontRunner,
        client: HttpClient,
        codec: ExchangeCodec,
        req: HttpRequest,
        resp: HttpResponder,
        request_id: RequestId,
        *,
        names_server: bool = False,
    ) -> None:
        """Serve one exchange; `names_server` tells the peer which runs it."""
        self._names_server = names_server
        self._runner = runner
        self._client = client
        self._codec = codec
        self._req = req
        self._resp = resp
        self._request_id = request_id
        self.state = ResponseState()

    async def async_send(self, send: SendRequest) -> AttemptFinished:
        """Carry out one attempt and return its outcome."""
        retry_after_s = next_connection = None
        ended_by_host = False
        try:
            async with asyncio.timeout_at(send.expires_at):
                outcome, retry_after_s = await self._async_attempt(send)
        except TimeoutError:
            outcome = AttemptOutcome.EXPIRED
        except ConnectFailedError:
            outcome = AttemptOutcome.NOT_SENT
        except SilentLinkError:
            outcome = AttemptOutcome.SILENT
        except CutLinkError as exc:
            outcome = AttemptOutcome.BROKEN
            next_connection = await self._async_check_next(send, exc)
        except LinkError as exc:
            self._log_invalid("response_broken", send, exc)
            outcome = AttemptOutcome.BROKEN
            ended_by_host = isinstance(exc, CLOSED_BY_HOST)
        except CallerDisconnectedError:
            raise
        except Exception as exc:
            # The request may go on at another server.
            write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
            outcome = AttemptOutcome.BROKEN
        if outcome in (AttemptOutcome.SILENT, AttemptOutcome.BROKEN):
            is_expired = asyncio.get_running_loop().time() >= send.expires_at
            outcome = AttemptOutcome.EXPIRED if is_expired else outcome
        failure = self.state.failure
        return AttemptFinished(
            request_id=self._request_id,
            outcome=outcome,
            response_started=self.state.response_started,
            last_event=self.state.last_event,
            has_response=failure is not None,
            says_not_run=failure is not None
            and failure.status in NOT_RUN_STATUSES,
            retry_after_s=retry_after_s,
            ended_by_close=self.state.ended_by_close,
            next_connection=next_connection,
            served_by=self.state.served_by,
            ended_by_host=ended_by_host,
        )

    async def _async_check_next(
        self, send: SendRequest, exc: CutLinkError
    ) -> CheckResult | None:
        """Return whether the server of a broken connection takes another.

        Returns None for a peer, and where no time is left.
        """
        began_at = asyncio.get_running_loop().time()
        result = None
        if send.relay_to is None and began_at < send.expires_at:
            wait_s = (
                BACKEND_CONNECT_TIMEOUT_S
                if send.streaming
                else NEXT_CONNECTION_TIMEOUT_S
            )
            deadline = min(began_at + wait_s, send.expires_at)
            result = await async_check_ended(
                self._client, send.server, deadline
            )
        log_message(
            message_type="connection_broken",
            request_id=self._request_id,
            server=send.server.server_id,
            reason=str(exc),
            next_connection=result,
            last_event=self.state.last_event,
            sent_ago_s=round(began_at - self.state.sent_at, LOGGED_DECIMALS),
        )
        return result

    async def _async_attempt(
        self, send: SendRequest
    ) -> tuple[AttemptOutcome, float | None]:
        now = asyncio.get_running_loop().time()
        self.state.sent_at = now
        self.state.is_silence_reported = False
        self.state.served_by = None
        encode_headers = (
            self._codec.encode_request_headers
            if send.relay_to is None
            else self._codec.encode_relay_headers
        )
        async with self._client.async_stream(
            self._req.method,
            send.server.address,
            self._req.target,
            deadline=send.expires_at,
            wait_until=lambda: self._first_byte_wait_until(send),
            connect_deadline=now + BACKEND_CONNECT_TIMEOUT_S,
            headers=encode_headers(self._req, send, now),
            body=self._req.body,
            fresh=send.new_connection,
            max_idle_s=FRESH_CONNECTION_MAX_IDLE_S
            if send.fresh_connection
            else POOLED_CONNECTION_MAX_IDLE_S,
            request_id=self._request_id,
            on_send=lambda use: self._log_sent(send, use),
        ) as stream:
            stream, head = await self._async_find_response(stream, send)
            self.state.on_new_connection = stream.on_new_connection
            if send.relay_to is not None:
                self.state.served_by = head.run_at
            if send.relay_to is None:
                self._report_notices(head, send, now)
            return await self._async_handle_response(stream, head, send)

    def _first_byte_wait_until(self, send: SendRequest) -> float | None:
        """Return until when to wait for the first byte; None to give up.

        After the first-byte deadline the wait goes on for as long as the
        server sends other responses, or is alive as far as known: it is
        slow then, not lost. It goes on as well where no other server can
        take over.
        """
        now = asyncio.get_running_loop().time()
        if now >= send.expires_at:
            return None
        if send.first_byte_deadline >= send.expires_at:
            return min(send.expires_at, now + FIRST_BYTE_POLL_S)
        silence = self._first_byte_silence(send)
        silent_s = now - silence.since
        check_at = send.first_byte_deadline - BACKEND_CONNECT_TIMEOUT_S
        if now >= check_at and silent_s >= BACKEND_CONNECT_TIMEOUT_S:
            self._report_lasting_silence(silence)
        if now < send.first_byte_deadline:
            return min(send.first_byte_deadline, now + FIRST_BYTE_POLL_S)
        if silent_s > SERVER_ACTIVE_WITHIN_S and send.streaming:
            self._report_silence(send)
        if self._may_leave(silence):
            return None
        return now + FIRST_BYTE_POLL_S

    def _first_byte_silence(self, send: SendRequest) -> Silence:
        """Return since when the server has sent nothing to this host."""
        last_activity_at = (
            self._runner.node.load_balancer.loads.last_activity_at(
                send.server.server_id
            )
        )
        return Silence(
            send=send,
            since=max(last_activity_at, self.state.sent_at),
            response_started=self.state.response_started,
        )

    def _may_leave(self, silence: Silence) -> bool:
        """Return whether to leave a silent server, and log that it is left.

        The server may be at work on the request, or may not have read it.
        """
        if self.state.response_started and self.state.last_event is None:
            return False
        now = asyncio.get_running_loop().time()
        judge = self._runner.node.exchanges.silence
        if not judge.may_leave(now, silence):
            return False
        send = silence.send
        loads = self._runner.node.load_balancer.loads
        active_at = loads.last_activity_at(send.server.server_id)
        log_message(
            message_type="server_left",
            request_id=self._request_id,
            server=send.server.server_id,
            contact=judge.contact(silence),
            silent_s=round(now - silence.since, LOGGED_DECIMALS),
            max_silence_s=round(send.max_silence_s, LOGGED_DECIMALS),
            server_active_ago_s=round(now - active_at, LOGGED_DECIMALS)
            if isfinite(active_at)
            else None,
            sent_ago_s=round(now - self.state.sent_at, LOGGED_DECIMALS),
            last_event=self.state.last_event,
            on_new_connection=self.state.on_new_connection,
        )
        return True

    async def _async_find_response(
        self, stream: ClientStream, send: SendRequest
    ) -> tuple[ClientStream, ResponseHead]:
        """Return the response to this request and its head.

        Responses to other requests on the connection are skipped. One
        without an id is that to this request only where no other request
        came before on the connection; a peer sends no others.
        """
        is_first = stream.on_new_connection
        for _ in range(MAX_STRAY_RESPONSES + 1):
            head = self._codec.decode_response_head(
                stream.status, stream.pairs
            )
            if head.leaving and send.relay_to is None:
                self._runner.post(LeavingAnnounced(server=send.server))
            if head.request_id == self._request_id:
                return stream, head
            if head.request_id is None:
                if is_first or _may_lack_id(head, send):
                    return stream, head
                if send.relay_to is not None:
                    raise BadResponseError(
                        f"{send.server.address}: a refusal without an id"
                    )
            is_first = False
            log_message(
                message_type="response_skipped",
                request_id=self._request_id,
                server=send.server.server_id,
                status=head.status,
                answers=head.request_id,
                **self._answer_fields(stream),
            )
            stream = await stream.async_next_response(
                max(send.first_byte_deadline, self._short_body_deadline(send)),
                lambda: self._first_byte_wait_until(send),
            )
        raise BadResponseError(
            f"{send.server.address}: too many stray responses"
        )

    def _report_notices(
        self, head: ResponseHead, send: SendRequest, sent_at: float
    ) -> None:
        """Report what the server says of itself, or no longer says."""
        if head.misdirected:
            return
        server = send.server
        balancer = self._runner.node.load_balancer
        limit_per_s = head.limit_per_s
        known_limit = balancer.limits.limit_of(server.server_id)
        if limit_per_s is not None or known_limit is not None:
            self._runner.post(
                ServerLimitSeen(
                    server=server, per_s=limit_per_s, sent_at=sent_at
                )
            )
        if head.cold != NO_READING:
            self._runner.post(
                ColdStateSeen(
                    server=server, reading=head.cold, sent_at=sent_at
                )
            )
        rejections_per_s = head.brittle_rejections_per_s
        now = asyncio.get_running_loop().time()
        if rejections_per_s is not None or balancer.brittle.is_brittle(
            now, server.service
        ):
            self._runner.post(
                BrittlenessSeen(
                    server=server,
                    rejections_per_s=rejections_per_s,
                    sent_at=sent_at,
                )
            )

    async def _async_handle_response(
        self, stream: ClientStream, head: ResponseHead, send: SendRequest
    ) -> tuple[AttemptOutcome, float | None]:
        if head.not_executed or _is_refused_by_peer(head, send):
            await self._async_discard_body(stream, send)
            outcome = (
                AttemptOutcome.MISDIRECTED
                if head.misdirected
                else AttemptOutcome.REJECTED
            )
            log_message(
                message_type="attempt_rejected",
                request_id=self._request_id,
                server=send.server.server_id,
                status=head.status,
                end=outcome.value,
                answers=head.request_id,
                retry_after_s=head.retry_after_s,
                **self._answer_fields(stream),
            )
            return outcome, head.retry_after_s
        if not HTTP_SUCCESS_MIN <= head.status <= HTTP_SUCCESS_MAX:
            deadline = send.expires_at
            if self._can_resend():
                deadline = self._short_body_deadline(send)
            body = await stream.async_read_rest(deadline, MAX_ERROR_BYTES)
            self._report_response_start(send)
            if head.is_authentic:
                self.state.failure = FailureResponse(
                    status=head.status,
                    headers=self._codec.filter_response_headers(stream.pairs),
                    body=body,
                )
            return AttemptOutcome.FAILED, head.retry_after_s
        if not head.is_authentic:
            raise BadResponseError(f"{send.server.address}: not authentic")
        self.state.ended_by_close = stream.ends_with_connection
        if send.streaming:
            await self._async_forward_events(stream, send)
        else:
            await self._async_forward_body(stream, send)
        return AttemptOutcome.DONE, None

    def _can_resend(self) -> bool:
        return self._runner.node.exchanges.silence.can_resend(
            asyncio.get_running_loop().time(),
            self._request_id,
            response_started=self.state.response_started,
        )

    def _short_body_deadline(self, send: SendRequest) -> float:
        now = asyncio.get_running_loop().time()
        return min(send.expires_at, now + SHORT_BODY_TIMEOUT_S)

    async def _async_discard_body(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        """Read the body of a rejection, so that its connection is reused.

        The rejection counts also if its body is invalid or does not end.
        """
        try:
            await stream.async_discard_rest(
                self._short_body_deadline(send), MAX_ERROR_BYTES
            )
        except LinkError as exc:
            self._log_invalid("rejection_cut", send, exc)

    def _log_sent(self, send: SendRequest, use: ConnectionUse) -> None:
        """Log which connection an attempt goes on."""
        self.state.connection = use
        log_message(
            message_type="attempt_sent",
            request_id=self._request_id,
            server=send.server.server_id,
            address=send.server.address,
            connection=use.connection,
            connection_age_s=round(use.age_s, LOGGED_DECIMALS),
            request_count=use.request_count,
        )

    def _answer_fields(self, stream: ClientStream) -> dict[str, Any]:
        """Return where an answer came, for the log."""
        use = self.state.connection
        assert use is not None
        now = asyncio.get_running_loop().time()
        return {
            "connection": use.connection,
            "request_count": use.request_count,
            "response_number": stream.number,
            "sent_ago_s": round(now - self.state.sent_at, LOGGED_DECIMALS),
        }

    def _log_invalid(
        self, message_type: str, send: SendRequest, exc: LinkError
    ) -> None:
        log_message(
            message_type=message_type,
            request_id=self._request_id,
            server=send.server.server_id,
            reason=str(exc),
        )

    def _report_response_start(
        self, send: SendRequest, *, has_event_ids: bool = False
    ) -> None:
        self.state.activity_reported_at = asyncio.get_running_loop().time()
        self._runner.post(
            ResponseStarted(
                request_id=self._request_id,
                on_new_connection=self.state.on_new_connection,
                has_event_ids=has_event_ids,
            )
        )

    def _report_activity(self, send: SendRequest) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.state.activity_reported_at >= ACTIVITY_REPORT_INTERVAL_S:
            self.state.activity_reported_at = now
            server_id = send.server.server_id
            self._runner.post(ServerActivity(server_id=server_id))

    async def _async_forward_body(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        body = await stream.async_read_rest(
            send.expires_at, MAX_RESPONSE_BYTES
        )
        if stream.ends_with_connection:
            _check_text(stream, body, send)
            await self._async_check_alive(send)
        self._report_response_start(send)
        self.state.response_started = True
        headers = self._codec.filter_response_headers(stream.pairs)
        if stream.ends_with_connection:
            # A length would say more of the body than the server did.
            await self._resp.async_send_until_close(
                stream.status, body, headers
            )
        else:
            await self._resp.async_send(stream.status, body, headers)

    async def _async_forward_events(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        """Forward each event when it is complete."""
        is_resumed = self.state.response_started
        if is_resumed:
            self._check_same_type(stream, send)
        splitter = EventSplitter()
        awaiting_first_event = True
        while True:
            chunk = await self._async_next_chunk(
                stream, send, awaiting_first_event
            )
            if chunk is None:
                break
            batch = splitter.feed(chunk)
            incomplete_bytes = len(splitter.incomplete)
            if max(incomplete_bytes, stream.held.size_bytes) > FREE_BYTES:
                await stream.held.async_hold(incomplete_bytes, send.expires_at)
            if not batch.data:
                continue
            if is_resumed:
                self._check_continues(batch, send)
            if awaiting_first_event:
                awaiting_first_event = False
                self._report_response_start(
                    send, has_event_ids=batch.ids[-1:] != (None,)
                )
            else:
                self._report_activity(send)
            await self._async_start_response(stream, send)
            await self._resp.async_write(batch.data)
            if batch.ids:
                self.state.last_event = batch.ids[-1]
        if splitter.incomplete:
            ended = (
                CutLinkError
                if stream.ends_with_connection
                else BadResponseError
            )
            raise ended(f"{send.server.address}: stream ended within an event")
        if stream.ends_with_connection:
            await self._async_check_not_stopped(send)
            await self._async_check_alive(send)
        await self._async_start_response(stream, send)
        await self._resp.async_end()

    def _check_same_type(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        """Raise `BadResponseError` if a response can't go on with this one.

        The caller has the head of the first one.
        """
        found = stream.status, _content_type(stream)
        if found != (self.state.status, self.state.content_type):
            raise BadResponseError(
                f"{send.server.address}: {found} does not continue the stream"
            )

    def _check_continues(self, batch: EventBatch, send: SendRequest) -> None:
        """Raise `BadResponseError` if the caller may have an event already."""
        last_event = self.state.last_event
        assert last_event is not None
        if not batch.continues(last_event):
            raise BadResponseError(
                f"{send.server.address}: events do not go on after"
                f" {last_event}"
            )

    async def _async_check_not_stopped(self, send: SendRequest) -> None:
        """Raise `BadResponseError` if the server may have stopped the run.

        A server that stops a run to migrate it closes the connection as it
        does at the end of a response without a length.
        """
        exchanges = self._runner.node.exchanges
        state = exchanges.get(self._request_id)
        while state is not None and state.is_migrating:
            await asyncio.sleep(MIGRATION_POLL_S)
            state = exchanges.get(self._request_id)
        if state is not None and state.may_be_stopped:
            raise BadResponseError(
                f"{send.server.address}: run stopped to migrate it"
            )

    async def _async_check_alive(self, send: SendRequest) -> None:
        """Raise `BadResponseError` if the server has ended.

        The end of its process closes a connection as the end of a response
        without a length does. A leaving server takes no new connections,
        but ends its responses.
        """
        registry = self._runner.node.load_balancer.registry
        backend = registry.get(send.server.server_id)
        if backend is not None and backend.leaving_since is not None:
            return
        deadline = (
            asyncio.get_running_loop().time() + BACKEND_CONNECT_TIMEOUT_S
        )
        result = await async_check_ended(self._client, send.server, deadline)
        if result is CheckResult.REFUSED:
            raise BadResponseError(
                f"{send.server.address}: ended at the end of a response"
                " without a length"
            )

    async def _async_next_chunk(
        self,
        stream: ClientStream,
        send: SendRequest,
        awaiting_first_event: bool,
    ) -> bytes | None:
        """Return the next bytes, or None at the end of the stream.

        Raises `SilentLinkError` if the server sends nothing for too long.
        """
        loop = asyncio.get_running_loop()
        silent_since = loop.time()
        while awaiting_first_event:
            until = self._first_byte_wait_until(send)
            if until is None:
                raise SilentLinkError(f"{send.server.address}: no event")
            try:
                return await stream.async_read(until)
            except SilentLinkError:
                continue
        self.state.is_silence_reported = False
        wait_until = silent_since + send.stream_idle_timeout_s
        silence = Silence(
            send=send,
            since=silent_since,
            response_started=self.state.response_started,
        )
        while True:
            try:
                return await stream.async_read(
                    min(send.expires_at, wait_until)
                )
            except SilentLinkError:
                now = loop.time()
                if now >= send.expires_at or self._may_leave(silence):
                    raise
            self._report_silence(send)
            self._report_lasting_silence(silence)
            wait_until = now + SILENCE_POLL_S

    def _report_silence(self, send: SendRequest) -> None:
        """Report a pause that is too long, once, if a server makes it."""
        if self.state.is_silence_reported or send.relay_to is not None:
            return
        self.state.is_silence_reported = True
        server_id = send.server.server_id
        self._runner.post(
            ServerSilent(request_id=self._request_id, server_id=server_id)
        )

    def _report_lasting_silence(self, silence: Silence) -> None:
        """Report that a server is still silent, which has it checked."""
        if silence.send.relay_to is not None:
            return
        self._runner.post(
            SilenceLasts(
                request_id=self._request_id,
                server_id=silence.send.server.server_id,
                since=silence.since,
            )
        )

    async def _async_start_response(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        """Send the response head, unless an earlier attempt has sent it."""
        if self.state.response_started:
            return
        self.state.response_started = True
        self.state.status = stream.status
        self.state.content_type = _content_type(stream)
        headers = self._codec.filter_response_headers(stream.pairs)
        if self._names_server:
            headers += self._codec.encode_run_headers(send.server.server_id)
        await self._resp.async_start(stream.status, headers)

    async def async_forward_failure(self) -> None:
        """Send the error response that was kept from an attempt."""
        failure = self.state.failure
        assert failure is not None
        await self._resp.async_send(
            failure.status, failure.body, failure.headers
        )
