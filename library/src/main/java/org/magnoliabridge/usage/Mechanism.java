package org.magnoliabridge.usage;

/** The mechanisms that a test switches off to show that the fault matrix finds the resulting faults. */
enum Mechanism {
    CREATE_IF_ABSENT,
    REPORT_FROM_SEALED_RECORD,
    CARRY,
    COPIES,
    MERGE_BY_MAX
}
