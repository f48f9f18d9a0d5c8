#include "organisation_page.h"

#include <jansson.h>
#include <stdlib.h>

static guint64
S_requests (const MrLimitState *state)
{
  return state->admitted + state->exceeded + state->uncounted;
}

static void
S_add_to_others (MrOrganisationPage *page, const MrLimitState *state)
{
  page->other_count++;
  page->others.admitted += state->admitted;
  page->others.exceeded += state->exceeded;
  page->others.uncounted += state->uncounted;
}

void
mr_organisation_page_add (const MrLimitState *state, void *user)
{
  MrOrganisationPage *page = user;
  guint at = page->largest_count;
  while (at > 0 && S_requests (&page->largest[at - 1]) < S_requests (state))
    at--;
  if (at == MR_ORGANISATION_PAGE_MAX)
    {
      S_add_to_others (page, state);
      return;
    }
  if (page->largest_count == MR_ORGANISATION_PAGE_MAX)
    S_add_to_others (page, &page->largest[--page->largest_count]);
  memmove (&page->largest[at + 1], &page->largest[at],
           (page->largest_count - at) * sizeof *page->largest);
  page->largest[at] = *state;
  page->largest_count++;
}

static json_t *
S_counts (const MrLimitState *state)
{
  return json_pack ("{s:I,s:I,s:I,s:I}", "requests", (json_int_t) S_requests (state), "admitted",
                    (json_int_t) state->admitted, "exceeded", (json_int_t) state->exceeded,
                    "uncounted", (json_int_t) state->uncounted);
}

GString *
mr_organisation_page_write (const MrOrganisationPage *page)
{
  json_t *list = json_array ();
  for (guint i = 0; i < page->largest_count; i++)
    {
      const MrLimitState *state = &page->largest[i];
      json_t *item = S_counts (state);
      json_object_set_new (item, "name", json_string (state->name));
      json_object_set_new (item, "rate", json_real (state->limit.rate));
      json_object_set_new (item, "burst", json_real (state->limit.burst));
      json_object_set_new (item, "balance", json_integer (state->balance));
      json_object_set_new (item, "counter",
                           state->counter ? json_string (state->counter) : json_null ());
      json_array_append_new (list, item);
    }
  json_t *others = S_counts (&page->others);
  json_object_set_new (others, "organisations", json_integer (page->other_count));
  json_t *root = json_pack ("{s:o,s:o}", "organisations", list, "others", others);
  char *text = json_dumps (root, JSON_COMPACT);
  GString *out = g_string_new (text);
  free (text);
  json_decref (root);
  return g_string_append_c (out, '\n');
}
