#include <event2/bufferevent.h>

#include "bandwidth.h"

#define TICKS_PER_S 20

void limit_bandwidth(struct evhttp_request *req, int64_t bytes_per_s)
{
	/* The connection keeps the configuration, so it is never freed. */
	static struct ev_token_bucket_cfg *config;
	static int64_t configured;
	struct evhttp_connection *con = evhttp_request_get_connection(req);
	struct timeval tick = { .tv_usec = 1000000 / TICKS_PER_S };
	size_t bytes = (size_t)(bytes_per_s / TICKS_PER_S);

	if (bytes_per_s && bytes_per_s != configured) {
		config = ev_token_bucket_cfg_new(INT32_MAX, INT32_MAX, bytes,
						 bytes, &tick);
		configured = bytes_per_s;
	}
	bufferevent_set_rate_limit(evhttp_connection_get_bufferevent(con),
				   bytes_per_s ? config : NULL);
}
