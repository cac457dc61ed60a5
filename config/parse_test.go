package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"lichentray/config"
	"lichentray/routing"
)

const sampleConfiguration = `{"config_version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"hostname":"a.example","rules":[
 {"name":"r1","route_type":"idempotent","target_latency_s":0.25,"priority":2,"match":{"path_prefix":"/x/"},"action":{"traffic_split":[{"backend_service":"s1","weight":90},{"backend_service":"s2","weight":10}],"timeout_s":1.5,"max_attempts":2}},
 {"name":"r2","route_type":"non_idempotent","target_latency_s":0.3,"priority":1,"match":{"path_prefix":"/x/y/"},"action":{"backend_service":"s1","timeout_s":2,"max_attempts":2}}]}],
"clusters":[{"name":"s1","health_check_path":"/health","max_connections":130,"protocol":"h1","tls":false},{"name":"s2","health_check_path":"/health","max_connections":130}]}`

func TestParseRejectsInvalidConfigurationNamingTheField(t *testing.T) {
	if _, err := config.Parse([]byte(sampleConfiguration)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, field string }{
		{"truncated", `"max_connections":130}]}`, ``, ""},
		{"trailing data", `"max_connections":130}]}`, `"max_connections":130}]} x`, ""},
		{"unknown service", `"backend_service":"s1","timeout_s"`, `"backend_service":"nobody","timeout_s"`, "backend_service"},
		{"unknown service in a split", `"backend_service":"s2","weight":10`, `"backend_service":"nobody","weight":10`, "traffic_split"},
		{"unknown route type", `"non_idempotent"`, `"maybe"`, "route_type"},
		{"timeout too long", `"timeout_s":2`, `"timeout_s":601`, "timeout_s"},
		{"max_attempts of 0", `"timeout_s":2,"max_attempts":2`, `"timeout_s":2,"max_attempts":0`, "max_attempts"},
		{"negative weight", `"weight":10`, `"weight":-1`, "weight"},
		{"weights add up to 0", `"weight":90},{"backend_service":"s2","weight":10`, `"weight":0},{"backend_service":"s2","weight":0`, "traffic_split"},
		{"wrong type", `"config_version":7`, `"config_version":"7"`, "config_version"},
		{"version missing", `"config_version":7,`, ``, "config_version"},
		{"listeners missing", `"listeners":[`, `"other":[`, "listeners"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(sampleConfiguration, c.old, c.new, 1)
			if text == sampleConfiguration {
				t.Fatal("the replacement did not change sampleConfiguration")
			}
			_, err := config.Parse([]byte(text))
			if err == nil {
				t.Error("Parse accepted an invalid configuration")
			} else if !strings.Contains(err.Error(), c.field) {
				t.Errorf("error does not name %s: %v", c.field, err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleConfiguration))
	f.Add([]byte(sampleConfiguration[:200]))
	f.Add([]byte(`{"config_version":1e3,"listeners":[],"clusters":[]}`))
	f.Add([]byte(`{"config_version":1,"listeners":null,"clusters":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := config.Parse(b)
		if err != nil {
			return
		}
		if !json.Valid(b) {
			t.Fatalf("accepted %q as version %d", b, c.Version)
		}
		for _, r := range routing.Compile(c).Routes {
			if r.MaxAttempts < 1 || r.PickService(0.999) < 0 {
				t.Fatalf("compiled a route that cannot be used: %+v", r)
			}
		}
	})
}
