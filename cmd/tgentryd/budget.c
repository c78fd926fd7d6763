#include "budget.h"

void budget_init(struct budget *b)
{
	b->hundredths = BUDGET_BURST * 100;
}

void budget_deposit(struct budget *b)
{
	b->hundredths += BUDGET_SHARE_PERCENT;
	if (b->hundredths > BUDGET_BURST * 100)
		b->hundredths = BUDGET_BURST * 100;
}

bool budget_withdraw(struct budget *b)
{
	if (b->hundredths < 100)
		return false;
	b->hundredths -= 100;
	return true;
}
