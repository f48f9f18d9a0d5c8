#include "operator_pages.h"

#include "metrics.h"
#include "traffic.h"

static void
S_append_services (GString *out, const MrView *view)
{
  GHashTableIter iter;
  gpointer item = NULL;
  gboolean first = TRUE;
  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const MrServiceView *service = item;
      g_string_append_printf (
          out,
          "%s{\"service\":\"%s\",\"document_version\":%" G_GUINT64_FORMAT
          ",\"accepted_version\":%" G_GUINT64_FORMAT
          ",\"snapshot\":\"%s\",\"generation\":%" G_GUINT64_FORMAT ",\"shards\":%u,\"targets\":%u}",
          first ? "" : ",", service->document.service, service->document_version,
          service->accepted_version, service->map ? service->map->snapshot : "",
          service->map ? service->map->generation : 0, service->map ? service->map->shard_count : 0,
          service->map ? service->map->target_count : 0);
      first = FALSE;
    }
}

static void
S_append_evacuated (GString *out, const MrView *view)
{
  GHashTableIter iter;
  gpointer domain = NULL;
  g_hash_table_iter_init (&iter, view->evacuated_domains);
  for (gboolean first = TRUE; g_hash_table_iter_next (&iter, &domain, NULL); first = FALSE)
    g_string_append_printf (out, "%s\"%s\"", first ? "" : ",", (const char *) domain);
}

GString *
mr_page_status (const MrEntryContext *context, const MrEntryActivity *activity)
{
  const MrView *view = context->view;
  GString *out = g_string_new (NULL);
  g_string_append_printf (out,
                          "{\"daemon\":\"%s\",\"domain\":\"%s\",\"region\":\"%s\",\"ready\":%s,"
                          "\"leaving\":%s,"
                          "\"platform_up\":%s,\"members\":%u,\"searches\":%u,\"orders\":%u,"
                          "\"services\":[",
                          context->settings->name, context->settings->domain,
                          context->settings->region, view && view->ready ? "true" : "false",
                          activity->leaving ? "true" : "false",
                          view && view->platform_up ? "true" : "false",
                          view ? view->members->count : 0, activity->searches, activity->orders);
  if (view)
    S_append_services (out, view);
  g_string_append (out, "],\"evacuated\":[");
  if (view)
    S_append_evacuated (out, view);
  g_string_append (out, "]}\n");
  return out;
}

GString *
mr_page_members (const MrEntryContext *context)
{
  GString *out = g_string_new ("{\"members\":[");
  for (guint i = 0; context->view && i < context->view->members->count; i++)
    {
      const MrMember *member = &context->view->members->members[i];
      g_string_append_printf (out,
                              "%s{\"name\":\"%s\",\"ip\":\"%s\",\"http_port\":%d,\"peer_port\":%d,"
                              "\"domain\":\"%s\","
                              "\"region\":\"%s\",\"state\":\"%s\",\"busy\":%s,\"incarnation\":"
                              "%" G_GUINT64_FORMAT "}",
                              i > 0 ? "," : "", member->name, member->ip, member->http_port,
                              member->peer_port, member->domain, member->region,
                              mr_member_state_name (member->state), member->busy ? "true" : "false",
                              member->incarnation);
    }
  g_string_append (out, "]}\n");
  return out;
}

typedef struct
{
  GString *out;
  gboolean first;
} BlamedList;

static void
S_append_blamed (const char *target, const char *domain, guint64 count, void *user)
{
  BlamedList *list = user;
  g_string_append_printf (list->out,
                          "%s{\"target\":\"%s\",\"domain\":\"%s\",\"count\":%" G_GUINT64_FORMAT "}",
                          list->first ? "" : ",", target, domain, count);
  list->first = FALSE;
}

static void
S_append_burn (GString *out, const MrEntryContext *context, const MrDocument *document, MrTime now)
{
  g_string_append_printf (out,
                          "{\"service\":\"%s\",\"objectives\":{\"latency_ms\":%" G_GINT64_FORMAT
                          ",\"latency\":%.5f,\"coverage\":%.5f,\"refused\":%.5f},\"windows\":[",
                          document->service, document->objective_latency_ms,
                          document->objective_latency, document->objective_coverage,
                          document->objective_refused);
  for (guint window = 0; window < MR_BURN_WINDOW_COUNT; window++)
    {
      MrBurnCounts counts = mr_burn_counts (context->burn, now, document->service, window);
      g_string_append_printf (
          out,
          "%s{\"seconds\":%" G_GINT64_FORMAT ",\"covered_seconds\":%" G_GINT64_FORMAT
          ",\"total\":%" G_GUINT64_FORMAT ",\"slow\":%" G_GUINT64_FORMAT
          ",\"uncovered\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT "}",
          window > 0 ? "," : "", mr_burn_window_seconds[window],
          mr_burn_covered_seconds (context->burn, now, window), counts.total, counts.slow,
          counts.uncovered, counts.refused);
    }
  g_string_append (out, "],\"blamed\":[");
  BlamedList list = { .out = out, .first = TRUE };
  mr_burn_foreach_blamed (context->burn, now, document->service, S_append_blamed, &list);
  g_string_append (out, "]}");
}

GString *
mr_page_burn (const MrEntryContext *context, MrTime now)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "{\"daemon\":\"%s\",\"services\":[", context->settings->name);
  if (context->view)
    {
      GHashTableIter iter;
      gpointer item = NULL;
      gboolean first = TRUE;
      g_hash_table_iter_init (&iter, context->view->services);
      while (g_hash_table_iter_next (&iter, NULL, &item))
        {
          if (!first)
            g_string_append_c (out, ',');
          S_append_burn (out, context, &((MrServiceView *) item)->document, now);
          first = FALSE;
        }
    }
  g_string_append (out, "]}\n");
  return out;
}

GString *
mr_page_metrics (const MrEntryContext *context)
{
  GString *out = g_string_new (NULL);
  mr_metrics_write (out);
  mr_traffic_write_metrics (out);
  g_string_append (out, "# HELP merlinring_search_seconds time from request to answer\n"
                        "# TYPE merlinring_search_seconds histogram\n");
  for (int cls = 0; cls < MR_TRAFFIC_CLASS_COUNT; cls++)
    {
      g_autofree char *label =
          g_strdup_printf ("class=\"%s\"", mr_traffic_class_name ((MrTrafficClass) cls));
      mr_metrics_write_histogram (out, "search", label, &context->latency[cls]);
    }
  return out;
}

GString *
mr_page_addresses (const MrEntryContext *context,
                   const char *domain,
                   guint max_count,
                   GRand *random)
{
  const MrMemberList *members = context->view->members;
  g_autoptr (GPtrArray) same_domain = g_ptr_array_new ();
  g_autoptr (GPtrArray) other_domains = g_ptr_array_new ();
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      if (member->state != MR_MEMBER_ALIVE || member->busy)
        continue;
      gboolean is_same = domain && g_str_equal (member->domain, domain);
      GPtrArray *list = is_same ? same_domain : other_domains;
      /* Shuffles the list, so that callers spread evenly over the daemons. */
      guint index = (guint) g_rand_int_range (random, 0, (gint32) list->len + 1);
      g_ptr_array_insert (list, (gint) index, (gpointer) member);
    }
  g_ptr_array_extend (same_domain, other_domains, NULL, NULL);
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "{\"keep_ms\":%d,\"addresses\":[", context->settings->keep_ms);
  for (guint i = 0; i < MIN (same_domain->len, max_count); i++)
    {
      const MrMember *member = g_ptr_array_index (same_domain, i);
      g_string_append_printf (
          out, "%s{\"ip\":\"%s\",\"port\":%d,\"domain\":\"%s\",\"name\":\"%s\"}", i > 0 ? "," : "",
          member->ip, member->http_port, member->domain, member->name);
    }
  g_string_append (out, "]}\n");
  return out;
}
