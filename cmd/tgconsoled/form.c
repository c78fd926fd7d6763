#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * The name of a form field is the JSON pointer of its value in the document.
 * Input that does not parse as the type of its field is kept as a string, so
 * that the validation reports it and the form shows it again unchanged.
 */

#define TOKENS_MAX 8
#define ARRAY_MAX TG_DOC_DRAINS_MAX

struct pointer {
	char text[256];
	char *tokens[TOKENS_MAX];
	size_t n;
};

static int parse_pointer(const char *s, struct pointer *p)
{
	char *save = NULL, *t;

	p->n = 0;
	if (*s != '/' || !tg_strlcpy(p->text, s, sizeof(p->text)))
		return -1;
	for (t = strtok_r(p->text, "/", &save); t;
	     t = strtok_r(NULL, "/", &save)) {
		if (p->n == TOKENS_MAX)
			return -1;
		p->tokens[p->n++] = t;
	}
	return p->n ? 0 : -1;
}

static bool is_index(const char *s)
{
	return *s >= '0' && *s <= '9';
}

static size_t to_index(const char *s)
{
	return strtoul(s, NULL, 10);
}

/*
 * Returns the child @token of @parent and creates it if needed, as an array or
 * an object.  Array elements can only be appended.  NULL if that is impossible.
 */
static json_t *get_or_create_child(json_t *parent, const char *token,
				   bool as_array)
{
	json_t *v = NULL;
	size_t i;

	if (json_is_object(parent)) {
		v = json_object_get(parent, token);
		if (!v) {
			v = as_array ? json_array() : json_object();
			json_object_set_new(parent, token, v);
		}
	} else if (json_is_array(parent) && is_index(token)) {
		i = to_index(token);
		if (i == json_array_size(parent) && i < ARRAY_MAX + 1)
			json_array_append_new(parent, json_object());
		v = json_array_get(parent, i);
	}
	return v;
}

static json_t *get_or_create_parent(json_t *doc, const struct pointer *p)
{
	json_t *v = doc;
	size_t i;

	for (i = 0; v && i + 1 < p->n; i++)
		v = get_or_create_child(v, p->tokens[i],
					is_index(p->tokens[i + 1]));
	return v;
}

static json_t *find_value(json_t *doc, const struct pointer *p)
{
	json_t *v = doc;
	size_t i;

	for (i = 0; v && i < p->n; i++)
		v = json_is_array(v) ?
			json_array_get(v, to_index(p->tokens[i])) :
			json_object_get(v, p->tokens[i]);
	return v;
}

/* Replaces bytes beyond ASCII by "?" if the input is not valid UTF-8. */
static json_t *parse_string(const char *s)
{
	json_t *v = json_string(s);
	char *copy, *c;

	if (v)
		return v;
	copy = tg_xstrdup(s);
	for (c = copy; *c; c++)
		if ((unsigned char)*c >= 0x80)
			*c = '?';
	v = json_string(copy);
	free(copy);
	return v;
}

static bool in(const char *const *keys, const char *key)
{
	for (; *keys; keys++)
		if (!strcmp(*keys, key))
			return true;
	return false;
}

static json_t *parse_number(const char *s)
{
	json_t *v = json_loads(s, JSON_DECODE_ANY, NULL);

	if (json_is_number(v))
		return v;
	json_decref(v);
	return parse_string(s);
}

/* "none" gives an empty list, as an empty field means that there is no list. */
static json_t *parse_list(const char *s)
{
	char *copy = tg_xstrdup(s), *save = NULL, *t;
	json_t *list = json_array();

	if (!strcmp(s, "none"))
		goto out;
	for (t = strtok_r(copy, " ,;\t\r\n", &save); t;
	     t = strtok_r(NULL, " ,;\t\r\n", &save))
		json_array_append_new(list, parse_string(t));
out:
	free(copy);
	return list;
}

static json_t *parse_value(const char *key, const char *s)
{
	static const char *const numbers[] = { "completion",
					       "fragmentation",
					       "max_in_flight",
					       "rate_per_s",
					       "quota_accelerators",
					       "tasks",
					       "accelerators_per_task",
					       "timeout_ms",
					       "queue",
					       "availability",
					       "latency_ms",
					       "latency_share",
					       NULL };
	static const char *const lists[] = { "workspaces", "azs",
					     "idempotent_methods", NULL };

	if (in(numbers, key))
		return parse_number(s);
	if (in(lists, key))
		return parse_list(s);
	if (!strcmp(key, "within_rack") &&
	    (!strcmp(s, "true") || !strcmp(s, "false")))
		return json_boolean(*s == 't');
	return parse_string(s);
}

static char *trim(const char *s)
{
	char *copy;
	size_t n;

	s += strspn(s, " \t\r\n");
	copy = tg_xstrdup(s);
	n = strlen(copy);
	while (n && strchr(" \t\r\n", copy[n - 1]))
		copy[--n] = '\0';
	return copy;
}

static void set_value(json_t *doc, const char *name, const char *value)
{
	struct pointer p;
	json_t *parent;
	char *text;

	if (parse_pointer(name, &p))
		return;
	parent = get_or_create_parent(doc, &p);
	if (!json_is_object(parent))
		return;
	text = trim(value);
	/* An empty field is omitted, so its default applies. */
	if (*text)
		json_object_set_new(parent, p.tokens[p.n - 1],
				    parse_value(p.tokens[p.n - 1], text));
	free(text);
}

/* Applies the other operator's side of one difference, given as JSON. */
static void apply_theirs(json_t *doc, const char *text)
{
	json_t *d = json_loads(text, 0, NULL);
	const char *place = json_string_value(json_object_get(d, "place"));
	json_t *theirs = json_object_get(d, "theirs");
	struct pointer p;
	json_t *parent;
	const char *last;

	if (!place || parse_pointer(place, &p))
		goto out;
	parent = get_or_create_parent(doc, &p);
	last = p.tokens[p.n - 1];
	if (json_is_object(parent) && theirs)
		json_object_set(parent, last, theirs);
	else if (json_is_object(parent))
		json_object_del(parent, last);
	else if (json_is_array(parent) && !theirs)
		json_array_remove(parent, to_index(last));
	else if (json_is_array(parent) && !json_object_get(d, "ours"))
		json_array_append(parent, theirs);
	else if (json_is_array(parent))
		json_array_set(parent, to_index(last), theirs);
out:
	json_decref(d);
}

/* Goes backwards, so that a removal keeps the indexes of the other elements. */
static void apply_all_theirs(json_t *doc, const json_t *differences)
{
	size_t i = json_array_size(differences);

	while (i--)
		apply_theirs(doc,
			     json_string_value(json_array_get(differences, i)));
}

static void add_field(struct form *f, const char *key, const char *value,
		      json_t *differences)
{
	if (*key == '/')
		set_value(f->doc, key, value);
	else if (!strcmp(key, "generation"))
		f->generation = strtoull(value, NULL, 10);
	else if (!strcmp(key, "token") && !f->token)
		f->token = tg_xstrdup(value);
	else if (!strcmp(key, "do") && !f->action)
		f->action = tg_xstrdup(value);
	else if (!strcmp(key, "take"))
		json_array_append_new(differences, parse_string(value));
}

/*
 * Names and values are decoded here, as evhttp_parse_query_str() leaves names
 * encoded and browsers encode '/'.
 */
static char *url_decode(const char *s)
{
	char *out = evhttp_uridecode(s, 1, NULL);

	return out ? out : tg_xstrdup("");
}

static void add_pair(struct form *f, char *pair, json_t *differences)
{
	char *value = strchr(pair, '=');
	char *key;

	if (!value)
		return;
	*value++ = '\0';
	key = url_decode(pair);
	value = url_decode(value);
	add_field(f, key, value, differences);
	free(key);
	free(value);
}

void form_parse(const char *body, struct form *f)
{
	char *copy = tg_xstrdup(body), *save = NULL, *pair;
	json_t *differences = json_array();

	memset(f, 0, sizeof(*f));
	f->doc = json_pack("{s:i}", "version", 1);
	for (pair = strtok_r(copy, "&", &save); pair;
	     pair = strtok_r(NULL, "&", &save))
		add_pair(f, pair, differences);
	free(copy);
	apply_all_theirs(f->doc, differences);
	json_decref(differences);
	if (!f->action)
		f->action = tg_xstrdup("check");
	if (!f->token)
		f->token = tg_xstrdup("");
}

void form_free(struct form *f)
{
	free(f->action);
	free(f->token);
	json_decref(f->doc);
}

bool form_apply_action(struct form *f)
{
	static const char add[] = "add ", del[] = "remove ";
	struct pointer p;
	json_t *parent, *list;

	if (!strncmp(f->action, add, strlen(add))) {
		if (parse_pointer(f->action + strlen(add), &p))
			return true;
		parent = get_or_create_parent(f->doc, &p);
		list = json_is_object(parent) || json_is_array(parent) ?
			get_or_create_child(parent, p.tokens[p.n - 1], true) :
			NULL;
		if (json_is_array(list) && json_array_size(list) <= ARRAY_MAX)
			json_array_append_new(list, json_object());
		return true;
	}
	if (!strncmp(f->action, del, strlen(del))) {
		if (parse_pointer(f->action + strlen(del), &p))
			return true;
		p.n--;
		list = find_value(f->doc, &p);
		if (json_is_array(list))
			json_array_remove(list, to_index(p.tokens[p.n]));
		return true;
	}
	return false;
}
