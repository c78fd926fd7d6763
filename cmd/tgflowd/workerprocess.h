#ifndef TGFLOWD_WORKERPROCESS_H
#define TGFLOWD_WORKERPROCESS_H

#include <stdbool.h>
#include <stdint.h>

/** enum process_sign - what the answer to a call tells of the known process */
enum process_sign {
	PROCESS_ANSWERS,
	PROCESS_REPLACED, /* a later one answers, so it has ended */
	PROCESS_UNORDERED, /* another one answers, maybe an earlier one */
};

/**
 * struct process_signs - an answer of a worker, and the process known before
 * @known_boot_ms: boot of the known process; 0 if none is known
 * @boot_ms: boot that the answer names; 0 if none
 * @answers_at_call: answers of the known process received when the call began
 * @answers: the same by now
 * @at_its_address: the known process has answered at the address of the call
 */
struct process_signs {
	int64_t known_boot_ms, boot_ms;
	int64_t answers_at_call, answers;
	bool at_its_address;
};

/**
 * process_sign_of() - whether the known process has ended
 *
 * Boots are times of day, which may step, so the higher one need not be the
 * later one.
 */
enum process_sign process_sign_of(const struct process_signs *s);

/**
 * process_lost_address() - whether the known process has ended, as another
 * worker answers at its address
 *
 * That proves nothing at an address at which the process never answered.
 */
bool process_lost_address(const struct process_signs *s);

#endif
