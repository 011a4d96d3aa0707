#!/usr/bin/env python3
"""Mutation test: removes one mechanism at a time in a scratch copy and checks
that its test fails.  A test that passes without the mechanism checks nothing.

mutants.py [NAME ...]   last line: "N passed, N failed" (failed: survivors)
"""
import os
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# name, file, original text, replacement, test that must fail
MUTANTS = [
    ("open-record-not-found", "src/entry_intake.c",
     "  if (rec != NULL)\n    attach (e, r, rec);\n  else if (too_old",
     "  if (rec != NULL && rec->phase == ENT_ENDED)\n"
     "    attach (e, r, rec);\n  else if (too_old",
     "SameSubmission.test_same_id_and_same_key"),
    ("fence-not-checked", "src/ledger.c",
     "  if (ballot != sub->holder.ballot)\n    return -EACCES;", "",
     "OwnerLost.test_owner_paused_and_resumed"),
    ("start-not-write-once", "src/ledger.c",
     "      return task->state == LED_TOMBSTONE ? -ECANCELED : -EALREADY;",
     "      return 0;",
     "unit"),
    ("key-not-write-once", "src/keybind.c",
     "  if (!sid_equal (&b->sid, sid))\n    return -EEXIST;", "",
     "SameSubmission.test_many_keys"),
    ("unproven-key-home-trusted", "src/keybind.c",
     "  return b->home_since_ms <= earliest_ms ? 0 : -EAGAIN;",
     "  return 0;",
     "HomeLost.test_cold_start"),
    ("failed-resolve-means-not-started", "src/entry_calls.c",
     "  if (err != 0 || !WIR_DECODE (lvp_outcome, res, &out))\n    {\n"
     "      mark_disconnected (call);\n      return;\n    }",
     "  if (err != 0 || !WIR_DECODE (lvp_outcome, res, &out))\n    {\n"
     "      memset (&out, 0, sizeof out);\n"
     "      out.status = LVP_NOT_STARTED;\n"
     "      apply_outcome (call, &out);\n      end_call (call);\n"
     "      return;\n    }",
     "LostMessages.test_connections_reset_and_not_back"),
    ("minion-connection-reused", "src/agent_target.c",
     'hcl_send (a->client, "ONCE"', 'hcl_send (a->client, "POST"',
     "LostMessages.test_minion_connection_reset"),
    ("adoption-by-others-ignored", "src/entry_open.c",
     "  return sid->minted_ms <= e->maybe_adopted_ms;", "  return false;",
     "OwnerLost.test_refusals"),
    ("silent-session-not-dropped", "src/entry_link.c",
     "> e->set.silent_ms * CLK_MS)", "> 600 * CLK_S)",
     "SilentConnections.test_all_of_one"),
    ("leaving-agent-accepts-tasks", "src/agent.c",
     "  a->leaving = true;\n", "  a->leaving = false;\n",
     "LogUnavailable.test_agent_leaves"),
    ("exit-before-responses-sent", "src/entry.c",
     "atomic_load (&e->http_pending) == 0", "true",
     "Leaving.test_entry_told_to_leave"),
    ("ready-before-rules-read", "src/entry_log.c",
     "  rvs_start_at (&e->rules, first);\n",
     "  rvs_start_at (&e->rules, first);\n"
     "  ent_log_activate_rules (e, \"begin\");\n",
     "Rules.test_not_ready_before"),
    ("any-base-accepted", "src/ruleversion.c",
     "  if (base != s->version)\n    return RVS_CONFLICT;", "",
     "Rules.test_five_operators"),
    ("state-not-repeated", "src/entry_log.c",
     "  lgt_append (e->rules_tail, record, NULL, NULL);", "",
     "Rules.test_retention"),
    ("capacity-not-checked", "src/capacity.c",
     "  if (!capa_fits (&left, need))\n    return false;\n", "",
     "Workers.test_sizes_are_never"),
    ("exit-before-last-outcome-sent", "src/agent.c",
     "         && clk_since (now, a->last_end_ns) > LEAVE_LINGER_NS", "",
     "Leaving.test_agent_told_to_leave_ends"),
    ("large-task-starved", "src/entry_worker.c",
     "  if (e->worker_head == NULL)\n    e->worker_head",
     "  e->worker_head",
     "Workers.test_a_large_task"),
    ("incomplete-answer-sent", "src/submission.c",
     "  if (s->done == s->count)\n", "  if (s->done + 1 >= s->count)\n",
     "AllOrNothing.test_equal_indices"),
    ("lost-runs-end-without-their-lease", "src/leasebounds.c",
     "  return lbd_lease_expiry (stop_ns, LBD_LEASE_NS);", "  return stop_ns;",
     "unit"),
    ("any-status-refuses-a-start", "platform/pfm_listing.c",
     "    default:\n      return MNN_UNANSWERED;",
     "    default:\n      return MNN_REFUSED;",
     "unit"),
    ("malformed-listing-taken", "platform/pfm_minion.c",
     "      listing.result.answer = MNN_UNANSWERED;", "",
     "Failures.test_minion_answers_with_malformed_lists"),
    ("report-as-old-as-its-receipt", "src/runner_minion.c",
     "  return mck_age_ms (&m->clock, m->report_incarnation, &m->reported,\n",
     "  return mck_age_ms (&m->clock, 0, &m->reported,\n",
     "Capacity.test_a_report_that_was_read_late"),
    ("start-for-any-process", "platform/pfm_minion.c",
     "  if (lease->process[0] != '\\0')", "  if (false)",
     "LateStarts"),
    ("start-repeated", "platform/pfm_minion.c",
     "  hcl_forbid_repeat (request);\n", "",
     "test_a_start_whose_repetition_is_refused"),
    ("refusal-of-a-later-sending-taken", "src/runner_runs.c",
     "  return call->sendings > 1 && answer != MNN_OK ? MNN_UNANSWERED : answer;",
     "  return answer;",
     "test_a_start_whose_repetition_is_refused"),
    ("start-given-up-at-once", "src/runner_runs.c",
     "#define SENDINGS_MAX 3", "#define SENDINGS_MAX 1",
     "test_jobs_end_in_time_while_half"),
    ("ages-by-a-clock-that-stands-still", "src/clock.h",
     "clock_gettime (CLOCK_BOOTTIME, &t)",
     "clock_gettime (CLOCK_MONOTONIC, &t)",
     "test_a_start_that_waited_at_a_suspended_agent"),
    ("orphans-run-on", "src/dispatch_join.c",
     "  if (stop.runs.runs_len > 0)", "  if (false)",
     "test_stops_lost_with_connections"),
    ("lease-renewed-for-runs-given-up", "src/runner_minion.c",
     "  return r->minion.runs_known && rtk_may_renew (&r->tracker, clk_boot ());",
     "  return true;",
     "test_runs_that_cannot_be_stopped"),
    ("token-of-the-former-process", "src/fencetoken.c",
     "  if (t->value < FTK_MAX)\n    t->value++;", "  (void)t;",
     "LateStarts.test_a_start_meant_for_a_process_of_the_same_id"),
    ("stop-repeated-on-open-connections", "platform/pfm_minion.c",
     "  if (request != NULL && run->stops_sent > 1)", "  if (false)",
     "test_stops_get_through_while_open"),
    ("nothing-answered-at-the-end", "src/dispatch_jobs.c",
     "  give_up_at_shutdown (d, now_ns);\n", "",
     "test_a_leaving_entry_answers_all"),
    ("withdrawn-runs-forgotten", "src/dispatch_jobs.c",
     "  abandon_runs (d, job);\n", "",
     "test_a_job_sent_again_at_once"),
    ("crash-of-runs-never-executed", "src/runtracker.c",
     "outcome == RTK_CRASHED && !t->runs->executed", "false",
     "unit"),
    ("crash-counted-without-proof", "src/crashlog.c",
     "  if (run->executed)\n    task->crashes++;",
     "  if (true)\n    task->crashes++;",
     "unit"),
    ("clock-of-a-minion-without-drift", "src/minionclock.c",
     "(age_ns - age_ns / LBD_DRIFT_PARTS)", "age_ns",
     "unit"),
    ("clock-of-a-former-process", "src/minionclock.c",
     "c->value_ms != 0 && c->process == process", "c->value_ms != 0",
     "unit"),
    ("longest-lease-not-reckoned", "src/runner_minion.c",
     "  rnw_requested (&m->renewal, clk_now (), "
     "r->settings.lease_max_ms * CLK_MS);\n", "",
     "unit"),
    ("starts-before-the-token-is-seen", "src/runner_minion.c",
     "  if (m->poll_token != r->token.value)\n    return;\n", "",
     "unit"),
    ("order-by-a-report-about-the-former-process", "src/leasebounds.c",
     "stamp_ns >= process_ns && ", "",
     "unit"),
    ("join-counts-at-once", "src/dispatch_join.c",
     "  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_join_res, &res);\n",
     "  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_join_res, &res);\n"
     "  dsp_confirm_join (d, conn);\n",
     "test_late_messages"),
    ("runs-confirmed-by-the-answer-to-a-join", "src/runner_entries.c",
     "  s->joined_ns = sent_ns;\n",
     "  s->joined_ns = s->confirmed_ns = sent_ns;\n",
     "test_the_answer_to_a_join"),
    ("earlier-joins-kept", "src/pendingjoin.c",
     "    if (strcmp (join->message.name, confirmed->message.name) == 0)\n"
     "      return join;\n", "",
     "unit"),
    ("unconfirmed-joins-kept", "src/dispatch_agents.c",
     "  dsp_close_unconfirmed (d, now_ns);\n", "",
     "test_joins_that_are_never_confirmed"),
    ("sources-by-their-times-only", "tools/build_id",
     "is_current || find", "true || find",
     "test_other_sources_are_built"),
    ("end-of-a-caller-behind-unread-bytes", "src/web.c",
     ".events = EPOLLRDHUP, ", ".events = 0, ",
     "test_a_caller_that_leaves_behind"),
    ("request-of-a-caller-that-has-left", "src/web.c",
     "  if (!r->finished && is_gone (r))", "  if (false)",
     "test_a_request_that_arrives_with_the_end"),
    ("no-cancel-without-a-queue", "platform/pfm_jobs.c",
     'strcmp (call->method, "DELETE") == 0 && id != NULL', "false",
     "test_a_job_whose_queue_is_dropped"),
    ("drained-domain-placed", "src/fleet.c",
     "          = a->says_drained\n"
     "            || drn_contains (a->fleet->drains, lv_slice_of (a->domain)) };",
     "          = false };",
     "test_a_drained_domain_gets_no_work"),
    ("drained-agent-accepts-orders", "src/runner_entries.c",
     "  bool open = able && cause == DRN_NONE;", "  bool open = able;",
     "test_a_drained_agent_refuses_orders"),
    ("percent-of-a-long-run-hurried", "src/runtracker.c",
     "  return slow_ns > STALL_TIMEOUT_NS ? slow_ns : STALL_TIMEOUT_NS;",
     "  return STALL_TIMEOUT_NS;",
     "unit"),
    ("leaving-entry-keeps-what-waits", "src/dispatch_jobs.c",
     "  refuse_before_shutdown (d, now_ns);\n", "",
     "test_a_leaving_entry_refuses_what_waits"),
    ("prefix-checked-in-its-normal-form", "src/catalog.c",
     " || !is_valid_text (from->prefix)\n", "\n",
     "unit"),
    ("older-drains-taken", "src/drain.c",
     "  if (position <= d->position)\n    return false;\n  drn_finish (d);",
     "  drn_finish (d);",
     "unit"),
    ("set-back-trusted", "platform/pfm_watch.c",
     "  if (drn_same_log (drains->position, 0))", "  if (true)",
     "test_a_store_that_was_set_back"),
    ("placed-before-the-records-are-known", "src/peers.c",
     "  p->events.drains (names, i, in->drains.position, source, "
     "p->events.priv);", "",
     "test_instances_that_start_without_the_store"),
    ("cancel-answered-before-the-replies", "src/cancelbatch.c",
     "b->log != CBT_LOGGING && (b->unreplied == 0 || late)", "true", "unit"),
    ("cancel-without-the-log", "src/cancelbatch.c",
     "b->missed && b->log == CBT_UNLOGGED", "false",
     "test_a_cancel_counts_at_an_entry_that_cannot_be_told"),
    ("unwritten-cancel-acknowledged", "src/cancelbatch.c",
     "  if (b->log == CBT_LOG_FAILED)\n    answer_calls (b, false);\n  else if",
     "  if", "test_a_cancel_that_is_not_confirmed"),
    ("caller-that-is-silent-not-missed", "src/peers.c",
     "  if (peer->answered_ns == 0\n"
     "      || clk_since (now_ns, peer->called_ns) > CALLED_MAX_NS)",
     "  if (peer->answered_ns == 0)",
     "test_a_cancel_counts_at_an_entry_that_cannot_be_told"),
    ("log-of-cancels-not-read", "platform/pfm_cancels.c",
     "c->ever_read && !c->events.is_needed (c->events.priv)", "c->ever_read",
     "test_a_cancel_counts_at_an_entry_that_cannot_be_told"),
    ("cold-minion-unlimited", "src/runner_runs.c",
     "  if (wmp_starts_left (&r->minion.warmup, now_ns) == 0)",
     "  if (false)",
     "test_a_minion_that_has_crashed_comes_back_slowly"),
    ("bodies-without-a-budget", "src/clients.c",
     "  if (client->dropped || wanted > c->bytes_max)\n    return false;\n"
     "  while (c->held - client->held > c->bytes_max - wanted)",
     "  while (false)",
     "test_a_dispatcher_outlives_each_crowd"),
    ("places-without-a-limit", "src/clients.c",
     "  if (c->count <= c->connections_max)", "  if (true)",
     "test_a_dispatcher_outlives_each_crowd"),
    ("cancel-kept-to-oneself", "src/dispatch_cancel.c",
     "  send_from (d, first, NULL);\n", "",
     "test_a_cancel_counts_at_every_entry"),
    ("cancels-not-told-again", "src/dispatch_cancel.c",
     "  send_from (d, d->cancels.list, conn);\n", "",
     "test_a_paused_entry_learns_of_cancels"),
    ("replaced-agent-keeps-its-tasks", "src/dispatch_join.c",
     "    else\n      await_lapse (task);\n", "",
     "test_tasks_of_an_agent_that_is_back"),
    ("amount-with-a-point-is-nothing", "src/jsonx.c",
     "  if (!jsx_is_number (member))",
     "  if (!json_object_is_type (member, json_type_int))",
     "unit"),
    ("held-room-given-away", "src/lookahead.c",
     "  if (is_nothing (&agent->held) || ends_ms <= agent->held_in_ms)",
     "  if (true)",
     "unit"),
    ("directory-read-once", "src/directory.c",
     "  if (listed)\n    {\n      d->next_read_ns",
     "  if (d->self.len > 0)\n    {\n"
     "      if (!listed)\n        d->ops->add (d->self, d->ops_priv);\n"
     "      d->next_read_ns",
     "unit"),
]


def mutate(copy, name, path, old, new):
    full = os.path.join(copy, path)
    with open(full) as f:
        text = f.read()
    assert text.count(old) == 1, \
        "%s: original text found %d times in %s" % (
            name, text.count(old), path)
    with open(full, "w") as f:
        f.write(text.replace(old, new))


def run(name, path, old, new, test):
    with tempfile.TemporaryDirectory(prefix="mutant-") as copy:
        shutil.copytree(ROOT, copy, dirs_exist_ok=True,
                        ignore=shutil.ignore_patterns("build", "build-*", ".git"))
        shutil.copytree(os.path.join(ROOT, "build"),
                        os.path.join(copy, "build"))
        mutate(copy, name, path, old, new)
        subprocess.run(["make", "-s", "-j4", "all", "build/unit",
                        "build/model", "suspendable"], cwd=copy, check=True,
                       capture_output=True)
        argv = ([os.path.join(copy, "build", "unit"), "--gtest_brief=1"]
                if test == "unit" else
                [sys.executable, "tests/run.py", test])
        done = subprocess.run(argv, cwd=copy, capture_output=True, text=True, errors="replace",
                              env=dict(os.environ, LV_BUILD=os.path.join(
                                  copy, "build")))
        if re.search(r"^0 passed, 0 failed", done.stdout, re.M):
            raise SystemExit("%s: no test matches %s" % (name, test))
        return done.returncode != 0, done.stdout


def main():
    killed = survived = 0
    for name, path, old, new, test in MUTANTS:
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        detected, text = run(name, path, old, new, test)
        killed += detected
        survived += not detected
        print("%s %s by %s" % ("killed  " if detected else "SURVIVED", name,
                                test), flush=True)
        if not detected:
            print(text[-1500:])
    print("%d passed, %d failed" % (killed, survived))
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
