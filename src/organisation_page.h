/* Page of the organisations with the most requests at this daemon, for operators.
 *
 * A configuration may have tens of thousands of organisations; the page lists a bounded number and
 * the sum of the others. */
#pragma once

#include "organisation_limits.h"

enum
{
  MR_ORGANISATION_PAGE_MAX = 20, /* organisations that are listed */
};

typedef struct
{
  MrLimitState largest[MR_ORGANISATION_PAGE_MAX]; /* the one with the most requests first */
  guint largest_count;
  guint other_count;
  MrLimitState others; /* sums */
} MrOrganisationPage;

/* Adds @state, of which only the pointers are kept.  @page: MrOrganisationPage, zeroed before the
 * first call. */
void mr_organisation_page_add (const MrLimitState *state, void *page);
/* Returns the page as JSON. */
GString *mr_organisation_page_write (const MrOrganisationPage *page);
