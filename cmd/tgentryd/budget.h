#ifndef ENTRY_BUDGET_H
#define ENTRY_BUDGET_H

#include "base/base.h"

/* Retries are 10% of a service's requests, plus a burst of 10. */
#define BUDGET_SHARE_PERCENT 10
#define BUDGET_BURST 10

/** struct budget - hundredths of a retry, so that shares add up exactly */
struct budget {
	int32_t hundredths;
};

void budget_init(struct budget *b);
/** budget_earn() - a request was dispatched for the first time */
void budget_deposit(struct budget *b);
/** budget_spend() - whether a retry is allowed; takes it */
bool budget_withdraw(struct budget *b);

#endif
