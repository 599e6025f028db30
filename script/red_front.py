"""Mutations of the rules on the users' platform."""

from typing import Final

from script.red_mutations import Mutation

CORE: Final = "tests/core/front/"
NOTICES: Final = "tests/front/test_server_notices_host.py::"
HOST: Final = "tests/front/test_platform_host.py::"
BROKEN: Final = "tests/front/test_broken_paths_host.py::"
EARLY: Final = "tests/front/test_early_answers_host.py::"
BOUNDS: Final = "tests/adapters/test_connection_bounds.py::"

FRONT_MUTATIONS: Final = (
    Mutation(
        promise="MIXED",
        path="waxwingarch/tasks/front_exchange.py",
        old="        if not head.is_authentic:\n"
        "            raise BadResponseError("
        'f"{send.server.address}: not authentic")\n',
        new="",
        test=HOST + "FaultyServers::test_unsigned_response_is_no_success",
    ),
    Mutation(
        promise="OPEN",
        path="waxwingarch/adapters/server_connection.py",
        old="            await self._async_wait_read()\n",
        new="",
        test=BOUNDS + "Clients::test_unread_answers_do_not_pile_up",
    ),
    Mutation(
        promise="OPEN",
        path="waxwingarch/adapters/server_connection.py",
        old="if self._task is None or ahead <= max_ahead:",
        new="if True:",
        test=BOUNDS + "Clients::test_requests_ahead_are_bounded",
    ),
    Mutation(
        promise="OPEN",
        path="waxwingarch/adapters/connection_bounds.py",
        old="if first is None or first.wait is Wait.ANSWER:",
        new="if first is None:",
        test=BOUNDS + "Number::test_order_in_which_connections_make_room",
    ),
    Mutation(
        promise="MIXED",
        path="waxwingarch/adapters/http_connection.py",
        old="                self._check_request_taken()\n",
        new="",
        test=EARLY + "EarlyAnswers::test_until_close",
    ),
    Mutation(
        promise="MIXED",
        path="waxwingarch/adapters/http_connection.py",
        old="MAX_STATUS: Final = 599",
        new="MAX_STATUS: Final = 999",
        test=EARLY + "InvalidStatuses",
    ),
    Mutation(
        promise="UNASKED",
        path="waxwingarch/platform/exchange_codec.py",
        old="if name in SYSTEM_HEADERS or name in HOP_HEADERS:",
        new="if name in HOP_HEADERS:",
        test=HOST + "Requests::test_system_headers_of_a_caller_are_dropped",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/state_machine.py",
        old="        if exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT:\n"
        "            return False\n",
        new="",
        test=CORE + "test_exchanges.py::AfterFailures::"
        "test_non_idempotent_is_never_sent_twice",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/state_machine.py",
        old="return not cache_lost and ",
        new="return ",
        test=CORE + "test_exchanges.py::LeavingServers::"
        "test_copy_that_cannot_be_taken_up_is_no_new_run",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/state_machine.py",
        old="or finished.next_connection is CheckResult.TAKEN",
        new="",
        test=BROKEN + "ResetPaths::test_stream_goes_on_at_the_same_server",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/platform/exchange_codec.py",
        old='headers.append((RUN_AT_HEADER, send.run_at or ""))',
        new='headers.append((RUN_AT_HEADER, ""))',
        test=BROKEN + "CutHosts::"
        "test_peer_goes_on_at_the_server_that_has_the_run",
    ),
    Mutation(
        promise="REFUSED",
        path="waxwingarch/core/exchange/state_machine.py",
        old="        if not self.may_have_run:\n",
        new="        if self.exchange:\n",
        test=CORE + "test_exchanges.py::AfterFailures::"
        "test_one_that_may_have_run_is_not_called_not_run",
    ),
    Mutation(
        promise="BUDGET",
        path="waxwingarch/core/limits/resend_budget.py",
        old="        return resends + 1 <= allowed * USED_RATIO\n",
        new="        return True\n",
        test=CORE + "test_limits.py::Resends",
    ),
    Mutation(
        promise="BUDGET",
        path="waxwingarch/core/quarantine/crash_evidence.py",
        old="CONDEMNED_AFTER: Final = 3",
        new="CONDEMNED_AFTER: Final = 99",
        test="tests/front/test_quarantine_host.py::Crashes",
    ),
    Mutation(
        promise="GONE",
        path="waxwingarch/tasks/front_entry.py",
        old="{serve_task, disconnect_task},\n",
        new="{serve_task},\n",
        test=HOST + "StopAndDisconnect::"
        "test_disconnect_before_the_first_event_stops_the_run",
    ),
    Mutation(
        promise="LOST",
        path="waxwingarch/core/front_node.py",
        old="        if now >= self._accept_until:\n"
        "            return [\n"
        "                LocalResponse(\n"
        "                    request_id=head.request_id, "
        "refusal=stopping_refusal()\n"
        "                )\n"
        "            ]\n",
        new="",
        test=CORE + "test_exchanges.py::Life::"
        "test_takes_nothing_that_it_may_not_finish_before_the_end",
    ),
    Mutation(
        promise="LOST",
        path="waxwingarch/front_daemon.py",
        old="        self._runner.post(StopEnds())\n",
        new="",
        test="tests/front/test_stop_host.py::LongRequests::"
        "test_is_answered_at_the_end",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/silence.py",
        old="Contact.ALIVE: silence.send.leave_alive_at,",
        new="Contact.ALIVE: lost_at,",
        test="tests/front/test_stopped_servers_host.py::StoppedServers::"
        "test_stream_stays_with_a_stopped_server",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/silence.py",
        old='Contact.UNKNOWN: float("inf"),',
        new="Contact.UNKNOWN: lost_at,",
        test="tests/front/test_stopped_servers_host.py::StoppedServers::"
        "test_silence_while_the_host_slept_is_none",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/core/exchange/migrations.py",
        old="            or source.is_usable\n",
        new="",
        test="tests/front/test_moved_runs_host.py::MovedRuns::"
        "test_entry_lapses_while_the_server_is_stopped",
    ),
    Mutation(
        promise="MIXED",
        path="waxwingarch/tasks/front_exchange.py",
        old="            _check_text(stream, body, send)\n",
        new="",
        test="tests/front/test_cut_responses_host.py::CutResponses::"
        "test_text_that_breaks_off_is_a_failure",
    ),
    Mutation(
        promise="LOST",
        path="waxwingarch/front_daemon.py",
        old='            self._settings_watch.reload("signal")\n',
        new="            for conn in self._entry.server.connections:\n"
        "                conn.abort_if_busy()\n",
        test="tests/standins/test_soak.py::ShortSoak::"
        "test_answers_each_request_beside_reloads_in_series",
    ),
    Mutation(
        promise="CONFIG",
        path="waxwingarch/core/routing/table.py",
        old="        if cfg.version <= self.version:\n"
        "            return False\n",
        new="",
        test=CORE + "test_routing.py::Versions",
    ),
    Mutation(
        promise="ROUTE",
        path="waxwingarch/platform/exchange_codec.py",
        old="        headers.append("
        "(HEADER_TARGET_SERVER, send.server.server_id))\n",
        new="",
        test=HOST + "TableUpdates::"
        "test_address_that_another_server_has_is_avoided",
    ),
    Mutation(
        promise="TWICE",
        path="waxwingarch/adapters/http_connection.py",
        old="        return request_id in self._request_ids\n",
        new="        return False\n",
        test="tests/front/test_copied_refusals_host.py",
    ),
    Mutation(
        promise="DRAIN",
        path="waxwingarch/core/backends/registry.py",
        old="        return self.leaving_since is None\n",
        new="        return True\n",
        test=CORE + "test_exchanges.py::LeavingServers::"
        "test_no_new_work_for_a_leaving_server",
    ),
    Mutation(
        promise="DRAIN",
        path="waxwingarch/platform/exchange_codec.py",
        old="leaving=status != HTTP_MISDIRECTED and is_leaving(values)",
        new="leaving=False",
        test=NOTICES + "LeavingServers",
    ),
    Mutation(
        promise="BUDGET",
        path="waxwingarch/core/exchange/exchange_manager.py",
        old="        if event.retry_after_s is not None:\n",
        new="        if event.retry_after_s == -1.0:\n",
        test=NOTICES + "FullServers",
    ),
    Mutation(
        promise="MIXED",
        path="waxwingarch/adapters/http_connection.py",
        old="        if size_bytes > max_bytes:\n",
        new="        if size_bytes > max_bytes * 10**9:\n",
        test=NOTICES + "EndlessResponses::test_each_part",
    ),
    Mutation(
        promise="MIXED",
        path="waxwingarch/adapters/http_connection.py",
        old="            or bool(self._reader.unread_bytes)\n",
        new="",
        test=NOTICES + "EndlessResponses::test_bytes_on_an_idle_connection",
    ),
    Mutation(
        promise="ONE",
        path="waxwingarch/core/duties/leader_election.py",
        old="            return row.era == self._era\n",
        new="            return True\n",
        test=CORE + "test_store_returns.py::LeaseOverEras",
    ),
    Mutation(
        promise="CONFIG",
        path="waxwingarch/tasks/table_watch.py",
        old="        return replace(known, version=row.version)\n",
        new="        return row\n",
        test="tests/front/test_store_returns_host.py::PeersOfOneStore",
    ),
    Mutation(
        promise="PLACEMENT",
        path="waxwingarch/core/backends/load_balancer.py",
        old="ASSUMED_CACHED_RATIOS: Final = (0.95, 0.6)",
        new="ASSUMED_CACHED_RATIOS: Final = (0.0,)",
        test=CORE + "test_prompt_placement.py::SharedPromptsOfManyHosts::"
        "test_first_bytes_are_in_time",
    ),
    Mutation(
        promise="STORE-CALLS",
        path="waxwingarch/core/peers/report_gossip.py",
        old="STALE_AFTER_RATIO * change_known_s",
        new="0 * change_known_s",
        test=CORE + "test_gossip.py::Followers::"
        "test_store_calls_do_not_grow_with_the_fleet",
    ),
    Mutation(
        promise="QUOTA",
        path="waxwingarch/core/limits/shared_rate.py",
        old="        return reported, "
        "silent_count * window_limit / host_count\n",
        new="        return 0.0, 0.0\n",
        test=CORE + "test_limits.py::SharedRate",
    ),
    Mutation(
        promise="ORDER",
        path="waxwingarch/core/exchange/exchange_manager.py",
        old="resume_after=state.last_event,",
        new="resume_after=None,",
        test=CORE + "test_exchanges.py::AfterFailures::"
        "test_stream_resumes_after_its_last_event",
    ),
    Mutation(
        promise="ONE",
        path="waxwingarch/core/duties/leader_election.py",
        old="        if remaining_s > 0:\n",
        new="        if remaining_s > self._term_s:\n",
        test="tests/model/test_singleton.py::OneHolder::"
        "test_one_holder_at_a_time",
    ),
    Mutation(
        promise="EXPOSURE",
        path="waxwingarch/core/rollouts/exposure.py",
        old="TRIAL_SHARE: Final = 0.05",
        new="TRIAL_SHARE: Final = 0.5",
        test=CORE + "test_rollouts.py",
    ),
    Mutation(
        promise="EVAC",
        path="waxwingarch/core/backends/registry.py",
        old="found = evacuated if self.is_evacuated(server) else usable",
        new="found = usable",
        test=CORE + "test_evacuations.py::Sends",
    ),
    Mutation(
        promise="EVAC",
        path="waxwingarch/core/exchange/migrations.py",
        old="            or self._load_balancer.registry."
        "is_evacuated(source.server)\n",
        new="",
        test=CORE + "test_evacuations.py::Sends::"
        "test_target_of_a_migration_and_the_call_for_it",
    ),
    Mutation(
        promise="EVAC",
        path="waxwingarch/core/backends/evacuations.py",
        old="            or UNKNOWN_ERA < era_of(known.version) < era\n",
        new="",
        test=CORE + "test_evacuations.py::StoreReturns",
    ),
    Mutation(
        promise="RECOVER",
        path="waxwingarch/adapters/early_socket.py",
        old="        return socket.create_server(address, backlog=BACKLOG)\n",
        new="        return None\n",
        test="tests/front/test_early_socket.py::EarlySocket::"
        "test_callers_can_connect_before_the_daemon_starts",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/server_limits.py",
        old="        known.cold_per_s = per_s\n",
        new="        known.cold_per_s = None\n",
        test=CORE + "test_cold_servers.py::BurstOnColdServers",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/server_limits.py",
        old="        owners = min(len(self._ranks.hosts), ceil(rate_per_s))\n",
        new="        rate_per_s *= 6\n"
        "        owners = min(len(self._ranks.hosts), ceil(rate_per_s))\n",
        test=CORE + "test_cold_servers.py::BurstOnColdServers",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/server_limits.py",
        old="begin = max(now, self._hosts_changed_at + OWNER_CHANGE_WAIT_S)",
        new="begin = now",
        test=CORE + "test_cold_servers.py::ChangesOfOwners::"
        "test_new_owners_begin_after_the_former_have_stopped",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/peers/report_gossip.py",
        old="        if not self.peers.is_fleet_known:\n",
        new="        if False:\n",
        test=CORE + "test_cold_servers.py::HostsWithoutPeers::"
        "test_unknown_fleet",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/peers/report_gossip.py",
        old="self.peers.known_host_count, self.peers.listed_host_count",
        new="self.peers.known_host_count, 0",
        test=CORE + "test_cold_servers.py::HostsWithoutPeers::"
        "test_share_is_by_the_hosts_listed_in_the_store",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/server_limits.py",
        old="            named_per_s is None or cold_per_s <= named_per_s\n",
        new="            named_per_s is None\n",
        test=CORE + "test_cold_servers.py::RunningServers::"
        "test_the_lower_limit_applies",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="        if remaining_s:\n            until, rows_count_from",
        new="        if False:\n            until, rows_count_from",
        test=CORE + "test_cold_servers.py::RunningServers::"
        "test_turns_cold_again",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="elif state is not None and now < state.rows_count_from:",
        new="elif False:",
        test=CORE + "test_cold_servers.py::RunningServers::"
        "test_row_that_is_older_than_a_response",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="            and event.sent_at >= state.learnt_at\n",
        new="",
        test=CORE + "test_cold_servers.py::RunningServers::"
        "test_row_that_is_older_than_a_response",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="        elif remaining_s is None and assumed_s > 0:\n",
        new="        elif False:\n",
        test=CORE + "test_cold_servers.py::ServersThatAppear",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="                not is_first_listing and server",
        new="                server",
        test=CORE + "test_cold_servers.py::ServersThatAppear",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="            until = now + self._cold_start_s(server)\n",
        new="            until = now\n",
        test=CORE + "test_cold_servers.py::EndsOfEvacuations",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/platform/cold_values.py",
        old="if not 0 <= value_ms <= MAX_COLD_MS or not isfinite(value_ms):",
        new="if not isfinite(value_ms):",
        test=CORE + "test_cold_servers.py::BadValues::test_rows_stay_valid",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/platform/rows_codec.py",
        old="        if _COLD_FIELD not in value:\n            raise\n",
        new="        raise\n",
        test=CORE + "test_cold_servers.py::BadValues::test_rows_stay_valid",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/tasks/front_exchange.py",
        old="        if head.cold != NO_READING:\n",
        new="        if False:\n",
        test="tests/front/test_cold_servers_host.py",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/cold_servers.py",
        old="return min(per_s, allowed // SETS_OF_OWNERS)",
        new="return per_s",
        test=CORE + "test_cold_servers.py::ChangesOfOwners::"
        "test_usable_rate_leaves_room_for_two_sets_of_owners",
    ),
    Mutation(
        promise="FAILBACK",
        path="waxwingarch/core/backends/server_limits.py",
        old="        known.statement = statement\n",
        new="        known.statement, known.cold_per_s = statement, None\n",
        test=CORE + "test_cold_servers.py::RunningServers::"
        "test_the_lower_limit_applies",
    ),
    Mutation(
        promise="QUOTA",
        path="waxwingarch/core/limits/shared_rate.py",
        old="        if offered_per_s * SUM_IN_USE_S <= spare:\n",
        new="        if offered_per_s >= 0:\n",
        test=CORE + "test_sums_in_fleet.py::AccountLimits::"
        "test_account_at_eleven_times_its_rate",
    ),
)
