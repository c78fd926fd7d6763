#include <string.h>

#include "site/site.h"

/* Instances are replaced at most a few times a minute. */
#define REFRESH_MS 5000
#define TIMEOUT_MS 1500

static void on_announced(const struct tg_store_result *r, void *arg)
{
	struct tg_site *s = arg;

	if (r->end != TG_STORE_OK)
		tg_log(EV_MEMBER_UNANNOUNCED, "instance=%s end=%d",
		       s->set.instance, (int)r->end);
}

void tg_flow_peers_announce(struct tg_site *s, const char *addr)
{
	struct tg_row put = {
		.table = TG_FLOW_PEERS_TABLE,
		.part = "",
		.key = s->set.instance,
		.value = addr,
		.value_bytes = strlen(addr),
	};
	struct tg_store_tx tx = {
		.puts = &put,
		.n_puts = 1,
		.timeout_ms = TIMEOUT_MS,
	};

	s->ops->tx(s->port, &tx, on_announced, s);
}

static void on_read(const struct tg_store_result *r, void *arg)
{
	struct tg_flow_peers *m = arg;
	char addr[TG_ADDR_MAX + 1];
	size_t i;

	m->reading = false;
	if (r->end != TG_STORE_OK)
		return;
	m->n = 0;
	for (i = 0; i < r->n_rows && m->n < TG_FLOW_PEERS_MAX; i++) {
		snprintf(addr, sizeof(addr), "%.*s",
			 (int)r->rows[i].value_bytes, r->rows[i].value);
		if (tg_addr_valid(addr))
			tg_strlcpy(m->addrs[m->n++], addr, sizeof(addr));
	}
}

void tg_flow_peers_refresh(struct tg_flow_peers *m)
{
	struct tg_store_range range = {
		.table = TG_FLOW_PEERS_TABLE,
		.part = "",
		.timeout_ms = TIMEOUT_MS,
	};
	int64_t now_ms = tg_now_ms();

	if (m->reading || (m->read_ms && now_ms - m->read_ms < REFRESH_MS))
		return;
	m->reading = true;
	m->read_ms = now_ms;
	m->site->ops->get(m->site->port, &range, on_read, m);
}

const char *tg_flow_peers_pick(struct tg_flow_peers *m, struct tg_rng *rng,
			       const char *exclude)
{
	int i, start;

	if (!m->n)
		return NULL;
	start = (int)tg_rng_below(rng, (uint64_t)m->n);
	for (i = 0; i < m->n; i++) {
		const char *addr = m->addrs[(start + i) % m->n];

		if (!exclude || strcmp(addr, exclude) != 0)
			return addr;
	}
	return NULL;
}
