#ifndef TG_STANDIN_BANDWIDTH_H
#define TG_STANDIN_BANDWIDTH_H

#include "http/http.h"

/**
 * limit_bandwidth() - limit how fast the answers to a client are sent
 * @req: request of a tg_http_server.  The limit stays with its connection, so
 *it is to be set for each answer.
 * @bytes_per_s: 0 for no limit
 */
void limit_bandwidth(struct evhttp_request *req, int64_t bytes_per_s);

#endif
