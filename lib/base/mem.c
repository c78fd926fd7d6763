#include <stdlib.h>
#include <string.h>

#include "base/base.h"

/* EX_SOFTWARE of sysexits.h */
#define EXIT_NO_MEMORY 70

static void *check_memory(void *p)
{
	if (!p) {
		fputs("out of memory\n", stderr);
		exit(EXIT_NO_MEMORY);
	}
	return p;
}

void *tg_xcalloc(size_t n, size_t size)
{
	return check_memory(calloc(n ? n : 1, size ? size : 1));
}

void *tg_xrealloc(void *p, size_t size)
{
	return check_memory(realloc(p, size ? size : 1));
}

char *tg_xstrdup(const char *s)
{
	return check_memory(strdup(s));
}

void tg_set_str(char **dst, const char *src)
{
	char *copy;

	if (!src)
		src = "";
	if (*dst && !strcmp(*dst, src))
		return;
	copy = tg_xstrdup(src);
	free(*dst);
	*dst = copy;
}

char *tg_xasprintf(const char *fmt, ...)
{
	char *s = NULL;
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(&s, fmt, ap) < 0)
		s = NULL;
	va_end(ap);
	return check_memory(s);
}
