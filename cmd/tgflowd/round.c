#include "board.h"

/* Runs scheduling rounds. */

/* Changes are collected this long before a round. */
#define BATCH_DELAY_MS 3
/*
 * The pause after a round is this many times as long as the round, so that
 * calls and answers are handled in time on an instance with little CPU.
 */
#define PAUSE_FACTOR 6
#define PAUSE_MAX_MS 200
/* Start times, ends of quarantines and missed answers need no finer checks. */
#define PERIOD_MS 100

static struct event *timer;
static struct tg_hist *round_us;
static int64_t last_round_us;

/* The next owner starts new tasks once a release is written. */
static bool may_order(struct board *b)
{
	return owner_may_renew(b) && b->directory_read && !b->owner.released;
}

void round_start_recorded(struct board *b)
{
	if (!may_order(b))
		return;
	flow_hold_starts(b->flow, starts_are_held(b));
	if (flow_start_recorded(b->flow, tg_now_ms(), &orders_flow_ops, b))
		writer_wake(b);
}

static void decide(struct board *b)
{
	int64_t from_us = tg_now_us();

	b->round_wanted = false;
	if (!may_order(b))
		return;
	round_start_recorded(b);
	flow_set_offline(b->flow, writer_is_stuck());
	if (flow_decide(b->flow, tg_now_ms(), tg_wall_ms(), &orders_flow_ops,
			b))
		writer_wake(b);
	round_start_recorded(b);
	last_round_us = tg_now_us() - from_us;
	tg_hist_add(round_us, (uint64_t)last_round_us);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	tg_turn_begin();
	decide(arg);
	tg_turn_end("round");
}

void round_wake(struct board *b)
{
	int64_t pause_us = PAUSE_FACTOR * last_round_us;
	struct timeval tv = { 0 };

	if (b->round_wanted)
		return;
	b->round_wanted = true;
	if (pause_us < BATCH_DELAY_MS * 1000)
		pause_us = BATCH_DELAY_MS * 1000;
	if (pause_us > PAUSE_MAX_MS * 1000)
		pause_us = PAUSE_MAX_MS * 1000;
	tv.tv_usec = pause_us;
	event_add(timer, &tv);
}

static int start(void *board)
{
	struct board *b = board;

	timer = event_new(b->base, -1, 0, on_timer, b);
	round_us = tg_histogram("tg_flow_round_us",
				"duration of a scheduling round", NULL);
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	(void)now_ms;
	round_wake(board);
}

static void stop(void *board)
{
	(void)board;
	event_free(timer);
}

const struct tg_controller round_controller = {
	.name = "round",
	.period_ms = PERIOD_MS,
	.start = start,
	.tick = tick,
	.stop = stop,
};
