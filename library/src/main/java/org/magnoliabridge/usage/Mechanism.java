package org.magnoliabridge.usage;

/** Safety mechanisms that a test disables one by one to show that the fault matrix detects the violations. */
enum Mechanism {
    CREATE_IF_ABSENT,
    REPORT_FROM_SEALED_RECORD,
    CARRY,
    COPIES,
    MERGE_BY_MAX
}
