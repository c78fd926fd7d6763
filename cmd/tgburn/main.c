#include "burn.h"

int main(int argc, char **argv)
{
	return burn_main(argc, argv, "tgburn");
}
