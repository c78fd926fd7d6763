#ifndef ENTRY_BUDGET_H
#define ENTRY_BUDGET_H

#include "base/base.h"

/* Retries are limited to 10% of a service's requests, plus a burst of 10. */
#define BUDGET_SHARE_PERCENT 10
#define BUDGET_BURST 10

/**
 * struct budget - retry budget of a service
 * @hundredths: balance in hundredths of a retry, an integer so that the shares
 *	of requests add up exactly
 */
struct budget {
	int32_t hundredths;
};

/** budget_init() - start with a full burst */
void budget_init(struct budget *b);
/** budget_deposit() - add the share of a request; call once for each request */
void budget_deposit(struct budget *b);
/** budget_withdraw() - take one retry; false if the balance is too low */
bool budget_withdraw(struct budget *b);

#endif
