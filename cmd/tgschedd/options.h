#ifndef TG_SCHEDD_OPTIONS_H
#define TG_SCHEDD_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "http/http.h"

/** struct options - settings of the process, described in main.c */
struct options {
	struct tg_http_limits http;
	const char *http_addr, *rpc_addr, *instance, *az, *platform, *peers;
	const char *log_level, *pause_at;
	int64_t sched_renew_ms, sched_lease_ms, lease_ms, renew_ms;
	int64_t checkpoint_ms, call_ms, worker_lost_ms, job_keep_ms;
	int64_t outage_renewal_max_ms, drain_grace_ms, drain_max_ms;
	bool unsafe_ignore_epoch, unsafe_start_before_reserved;
	bool unsafe_renew_partial_gangs, unsafe_no_outage_renewal;
	bool unsafe_restart_before_expiry, unsafe_reuse_attempts;
	bool unsafe_assume_not_written, unsafe_keep_row;
	bool unsafe_no_reclaim, unsafe_takeover_restarts;
	bool unsafe_renew_with_table_only;
	bool unsafe_ignore_holder, unsafe_ignore_renewers;
};

#endif
