/* Reads a page of a list of which single elements may be no JSON.
 *
 * Several writers share the platform's store.  One entry with bytes that can't be
 * read must not cost the caller the whole page, which would hide every target
 * that stands on it, again at each reading. */
#pragma once

#include "text.h"
#include <jansson.h>

typedef struct
{
  const char *const *lists; /* names of arrays that a page may hold, NULL at the end */
  /* TRUE if @value can be an element of @list.  Where a broken element ends is
   * told by the next such value. */
  gboolean (*is_element) (const char *list, const json_t *value);
  /* What takes the place of a broken element; NULL: nothing. */
  json_t *(*save) (const char *list, MrText broken);
} MrJsonPage;

/* The page, an object; NULL if it can't be told where its list ends.  Adds to
 * @broken the count of elements that could not be read. */
json_t *mr_json_page_load (const MrJsonPage *page, MrText text, guint *broken);

/* The value of the first member @name in @text, which need not be JSON as a
 * whole; NULL if there is none that can be read. */
json_t *mr_json_find_member (MrText text, const char *name);
