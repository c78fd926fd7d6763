#include <argtable2.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

#define VARIABLE_MAX 80

static size_t count_items(const struct tg_setting *items)
{
	size_t n = 0;

	while (items[n].flag)
		n++;
	return n;
}

static char variable_char(char c)
{
	if (c == '-')
		return '_';
	return c >= 'a' && c <= 'z' ? (char)(c - 'a' + 'A') : c;
}

static void variable_name(const char *flag, char *out)
{
	char *p;

	snprintf(out, VARIABLE_MAX, "TG_%s", flag);
	for (p = out; *p; p++)
		*p = variable_char(*p);
}

static bool addrs_valid(const char *s)
{
	char addr[TG_ADDR_MAX + 1];

	while (*s) {
		size_t n = strcspn(s, ",");

		if (n >= sizeof(addr))
			return false;
		memcpy(addr, s, n);
		addr[n] = '\0';
		if (!tg_addr_valid(addr))
			return false;
		s += n + (s[n] == ',');
	}
	return true;
}

static void store_int(const struct tg_setting *s, const char *text,
		      const char *place, void *field, struct tg_findings *f)
{
	char *end;
	long long v;

	errno = 0;
	v = strtoll(text, &end, 10);
	if (errno || end == text || *end) {
		tg_findings_add(f, place, "\"%s\" is not a whole number", text);
		return;
	}
	if (v < s->min || v > s->max) {
		tg_findings_add(f, place, "%lld is not within %lld..%lld", v,
				(long long)s->min, (long long)s->max);
		return;
	}
	*(int64_t *)field = v;
}

static void store_bool(const char *text, const char *place, void *field,
		       struct tg_findings *f)
{
	if (!strcmp(text, "1") || !strcmp(text, "true"))
		*(bool *)field = true;
	else if (!strcmp(text, "0") || !strcmp(text, "false") || !*text)
		*(bool *)field = false;
	else
		tg_findings_add(f, place, "\"%s\" is neither true nor false",
				text);
}

static void store_value(const struct tg_setting *s, const char *text,
			const char *place, void *opts, struct tg_findings *f)
{
	void *field = (char *)opts + s->offset;

	switch (s->type) {
	case TG_SET_INT:
		store_int(s, text, place, field, f);
		return;
	case TG_SET_BOOL:
		store_bool(text, place, field, f);
		return;
	case TG_SET_ADDR:
		if (!tg_addr_valid(text))
			tg_findings_add(f, place, "\"%s\" is not IP:PORT",
					text);
		break;
	case TG_SET_ADDRS:
		if (!addrs_valid(text))
			tg_findings_add(f, place,
					"\"%s\" is not IP:PORT,IP:PORT...",
					text);
		break;
	case TG_SET_NAME:
		if (!tg_name_valid(text))
			tg_findings_add(
				f, place,
				"\"%s\" is not a name of a-z, 0-9 and -", text);
		break;
	case TG_SET_STRING:
		break;
	}
	*(const char **)field = text;
}

static void clear_value(const struct tg_setting *s, void *opts)
{
	void *field = (char *)opts + s->offset;

	if (s->type == TG_SET_INT)
		*(int64_t *)field = 0;
	else if (s->type == TG_SET_BOOL)
		*(bool *)field = false;
	else
		*(const char **)field = NULL;
}

/* Arguments of argtable2: settings, --help, --version, operands, errors. */
struct flag_table {
	size_t n; /* settings */
	void **table;
	struct arg_lit *help, *version;
	struct arg_str *operands;
	struct arg_end *end;
	char **help_texts;
};

static char *help_text(const struct tg_setting *s)
{
	char var[VARIABLE_MAX];

	variable_name(s->flag, var);
	if (s->def && *s->def)
		return tg_xasprintf("%s [%s, %s]", s->help, var, s->def);
	return tg_xasprintf("%s [%s]", s->help, var);
}

static void make_flag_table(const struct tg_settings_spec *spec,
			    struct flag_table *flags)
{
	size_t i;

	flags->n = count_items(spec->items);
	flags->table = tg_xcalloc(flags->n + 4, sizeof(*flags->table));
	flags->help_texts =
		tg_xcalloc(flags->n + 1, sizeof(*flags->help_texts));
	for (i = 0; i < flags->n; i++) {
		const struct tg_setting *s = &spec->items[i];

		flags->help_texts[i] = help_text(s);
		if (s->type == TG_SET_BOOL)
			flags->table[i] =
				arg_lit0(NULL, s->flag, flags->help_texts[i]);
		else
			flags->table[i] =
				arg_str0(NULL, s->flag,
					 s->type == TG_SET_INT ? "N" : "VALUE",
					 flags->help_texts[i]);
	}
	flags->table[i++] = flags->help =
		arg_lit0("h", "help", "show this help");
	flags->table[i++] = flags->version =
		arg_lit0(NULL, "version", "show the version");
	if (spec->operands)
		flags->table[i++] = flags->operands =
			arg_strn(NULL, NULL, spec->operands, spec->operands_min,
				 spec->operands_max, NULL);
	flags->table[i] = flags->end = arg_end(20);
}

static void free_flag_table(struct flag_table *flags)
{
	size_t i, n = flags->n + 3 + (flags->operands != NULL);

	arg_freetable(flags->table, n);
	for (i = 0; i < flags->n; i++)
		free(flags->help_texts[i]);
	free(flags->help_texts);
	free(flags->table);
}

static const char *flag_value(const struct tg_setting *s, void *arg)
{
	if (s->type == TG_SET_BOOL)
		return ((struct arg_lit *)arg)->count ? "true" : NULL;
	return ((struct arg_str *)arg)->count ?
		((struct arg_str *)arg)->sval[0] :
		NULL;
}

static void load_setting(const struct tg_setting *s, void *arg, void *opts,
			 struct tg_findings *f)
{
	char var[VARIABLE_MAX], place[VARIABLE_MAX + 2];
	const char *text = flag_value(s, arg);

	variable_name(s->flag, var);
	snprintf(place, sizeof(place), "--%s", s->flag);
	if (!text && (text = getenv(var)))
		snprintf(place, sizeof(place), "%s", var);
	if (!text)
		text = s->def;
	clear_value(s, opts);
	if (text)
		store_value(s, text, place, opts, f);
	else if (s->required)
		tg_findings_add(f, place, "required (or %s)", var);
}

static void print_help(const struct tg_settings_spec *spec,
		       struct flag_table *flags)
{
	printf("usage: %s", spec->prog);
	arg_print_syntaxv(stdout, flags->table, "\n");
	printf("%s\n\n", spec->summary);
	arg_print_glossary(stdout, flags->table, "  %-32s %s\n");
}

static void add_parse_errors(struct flag_table *flags, const char *prog,
			     struct tg_findings *f)
{
	char *text = NULL, *line, *save = NULL;
	size_t size, prefix_len = strlen(prog) + 2;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return;
	arg_print_errors(out, flags->end, prog);
	fclose(out);
	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save))
		tg_findings_add(f, "arguments", "%s",
				strlen(line) > prefix_len ? line + prefix_len :
							    line);
	free(text);
}

static void copy_operands(struct flag_table *flags, struct tg_operands *rest)
{
	int i;

	rest->n = flags->operands->count;
	rest->v = tg_xcalloc((size_t)rest->n + 1, sizeof(*rest->v));
	for (i = 0; i < rest->n; i++)
		rest->v[i] = flags->operands->sval[i];
}

enum tg_settings_result tg_settings_load(const struct tg_settings_spec *spec,
					 int argc, char **argv, void *opts,
					 struct tg_operands *rest)
{
	enum tg_settings_result r = TG_SETTINGS_OK;
	struct tg_findings f = { 0 };
	struct flag_table flags = { 0 };
	int errors;
	size_t i;

	make_flag_table(spec, &flags);
	if (arg_nullcheck(flags.table)) {
		fprintf(stderr, "%s: out of memory\n", spec->prog);
		return TG_SETTINGS_INVALID;
	}
	errors = arg_parse(argc, argv, flags.table);
	if (flags.help->count) {
		print_help(spec, &flags);
		r = TG_SETTINGS_EXIT;
		goto out;
	}
	if (flags.version->count) {
		printf("%s %s\n", spec->prog, TG_VERSION);
		r = TG_SETTINGS_EXIT;
		goto out;
	}
	if (errors)
		add_parse_errors(&flags, spec->prog, &f);
	for (i = 0; i < flags.n; i++)
		load_setting(&spec->items[i], flags.table[i], opts, &f);
	if (flags.operands && rest)
		copy_operands(&flags, rest);
	if (f.n) {
		tg_findings_print(&f, stderr, spec->prog);
		fprintf(stderr, "%s: try --help\n", spec->prog);
		r = TG_SETTINGS_INVALID;
	}
out:
	tg_findings_free(&f);
	free_flag_table(&flags);
	return r;
}
