/** The configuration of a small deployment: three engines, two trainers' tenants. */
final class Deployment {
    static final String HOST = "ficu95.example";
    static final String LOTS = "/pufi791/";

    private Deployment() {}

    /**
     * Returns a configuration.
     *
     * @param routes more routes, each followed by a comma, as JSON
     */
    static String config(int version, int slots, int attempts, String routes) {
        return """
                {"Version":%d,
                 "Routes":[%s{"Name":"r-lots","Host":"%s","PathPrefix":"%s","Type":"rollout","TimeoutMs":10000,
                            "GoalMs":400,"Service":"coachgen","MaxAttempts":%d,"MaxQueueS":40.0,"DueMs":7500,
                            "Priority":1,"Sticky":true}],
                 "Services":[{"Name":"coachgen","HealthPath":"/healthz","MaxConns":170,
                              "Engine":{"Slots":%d,"KvCapacity":102972,"Stride":72,"Models":[{"Name":"m0"}]}}],
                 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000},
                 "Tenants":[{"Name":"kaje80","ApiKeys":["i9n73hh2b9wu3fexd9dn"]},
                            {"Name":"vopu11","ApiKeys":["w2m45kk8d3rt6hjyf1qp"]}]}
                """.formatted(version, routes, HOST, LOTS, attempts, slots);
    }
}
