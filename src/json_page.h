/* Reads parts of JSON texts: a page of a list with malformed elements, and single members.
 *
 * Several writers share the platform's store.  A single entry that is not valid JSON must not make
 * the whole page unreadable: all targets listed on it would be missing, at each read again. */
#pragma once

#include "text.h"
#include <jansson.h>

typedef struct
{
  const char *const *array_names; /* names of the arrays that a page may contain; NULL-terminated */
  /* Returns TRUE if @value is a possible element of the array @list. */
  gboolean (*is_element) (const char *list, const json_t *value);
  /* Returns a replacement for the malformed element with the text @malformed, or NULL to omit it.
   * @is_json: the text is a JSON value that cannot be represented (nested too deeply, a number too
   * large, a string that is not UTF-8); otherwise it reaches up to the next valid element. */
  json_t *(*salvage) (const char *list, MrText malformed, gboolean is_json);
} MrJsonPageFormat;

typedef struct
{
  guint omitted; /* malformed elements without a replacement */
  gboolean cut;  /* the elements after the last malformed one could not be found */
} MrJsonPageDamage;

/* Returns the page as a JSON object, or NULL if @text is no object or the end of its list cannot be
 * found.  The time is proportional to the length of @text. */
json_t *mr_json_page_load (const MrJsonPageFormat *format, MrText text, MrJsonPageDamage *damage);

/* Returns the value of the first member called @name in @text at any depth, or NULL if there is
 * none or it is malformed.  The rest of @text need not be valid JSON. */
json_t *mr_json_find_member (MrText text, const char *name);

/* Finds the text of the value of the last member called @name of the object @text, of any depth and
 * any range of numbers.  FALSE if there is none or @text is no object. */
gboolean mr_json_find_member_text (MrText text, const char *name, MrText *value);

/* Returns the value of the last member called @name of the object @text, without building the rest
 * of the tree; NULL if there is none or it cannot be represented, or if @text is no object. */
json_t *mr_json_read_member (MrText text, const char *name);
