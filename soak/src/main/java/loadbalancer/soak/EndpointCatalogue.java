package loadbalancer.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All revisions of the endpoint list. Thread-safe. */
final class EndpointCatalogue {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FIRST_REVISION = 100;

  private final List<EndpointEntry> changes = new ArrayList<>();

  /** Adds a change and returns the revision of the list that contains it. */
  synchronized int add(EndpointEntry entry) {
    changes.add(entry);
    return revision();
  }

  /** Returns the revision of the empty list. */
  int firstRevision() {
    return FIRST_REVISION;
  }

  synchronized int revision() {
    return FIRST_REVISION + changes.size();
  }

  /** Returns the change that produced a revision. */
  synchronized EndpointEntry change(int revision) {
    return changes.get(revision - FIRST_REVISION - 1);
  }

  /** Returns the endpoints of a revision that have not been removed, by name. */
  synchronized Map<String, EndpointEntry> endpointsAt(int revision) {
    Map<String, EndpointEntry> entries = new LinkedHashMap<>();
    for (EndpointEntry entry : changes.subList(0, revision - FIRST_REVISION)) {
      if (entry.phase() == EndpointEntry.Phase.GONE) {
        entries.remove(entry.id());
      } else {
        entries.put(entry.id(), entry);
      }
    }
    return entries;
  }

  /** Returns the complete list of a revision, without draining endpoints if these are omitted. */
  ObjectNode completeList(int revision, boolean omitDraining) {
    ObjectNode list = emptyList(revision, true);
    for (EndpointEntry entry : endpointsAt(revision).values()) {
      if (!omitDraining || entry.phase() == EndpointEntry.Phase.READY) {
        entry.writeTo(((ArrayNode) list.get("members")).addObject());
      }
    }
    return list;
  }

  /** Returns a list of the changes from one revision to another. */
  synchronized ObjectNode changesBetween(int since, int revision) {
    Map<String, EndpointEntry> latestById = new LinkedHashMap<>();
    for (EndpointEntry entry :
        changes.subList(Math.max(0, since - FIRST_REVISION), revision - FIRST_REVISION)) {
      latestById.put(entry.id(), entry);
    }
    ObjectNode list = emptyList(revision, false);
    latestById.values().forEach(e -> e.writeTo(((ArrayNode) list.get("members")).addObject()));
    return list;
  }

  /** Returns whether the changes since a revision are known. */
  synchronized boolean hasRevision(int revision) {
    return revision >= FIRST_REVISION && revision <= revision();
  }

  private static ObjectNode emptyList(int revision, boolean complete) {
    ObjectNode list = JSON.createObjectNode();
    list.put("revision", revision).put("complete", complete).putArray("members");
    return list;
  }
}
