package standin

import "wheatspur/wire"

// Team is a team with its guarantee and its limit.
type Team struct {
	Name                         string
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Site is a small deployment.
type Site struct {
	Name     string
	Labels   []string // of the controllers
	Domains  []string // of the controllers
	Zones    []string
	Teams    []Team
	Types    []wire.MachineType
	Capacity map[Kind]int
	ReportS  float64
	LeaseS   float64
	CancelS  float64
	State    StateLimits
	CloudRPS float64
	ListLagS float64
	FetchGBs float64
	CPUShare float64
	MemoryMB float64
	Sockets  int
}

// SonarAtithi returns the first deployment of Sonar Atithi.
func SonarAtithi() Site {
	zones := []string{"durgapur", "kolkata-uttor", "siliguri", "sundarban"}
	boro := []string{"durgapur", "kolkata-uttor", "sundarban"}
	return Site{
		Name:    "sonar-atithi-sched",
		Labels:  []string{"kheti-0", "kheti-1", "kheti-2"},
		Domains: []string{"kolkata-uttor", "siliguri", "durgapur"},
		Zones:   zones,
		Teams: []Team{
			{Name: "dwarpal", GPUs: 24, GPUsMax: 80},
			{Name: "hisabkhana", GPUs: 48, GPUsMax: 120},
		},
		Types: []wire.MachineType{
			{Label: "boro-ghar", CPUs: 24, GPUs: 4, RAMGB: 144, LocalGB: 150, FetchGBPerS: 0.6, Price: 12.99, SpotPrice: 3.57, StartupS: 35, Zones: boro},
			{Label: "chhoto-ghar", CPUs: 12, GPUs: 2, RAMGB: 72, LocalGB: 60, FetchGBPerS: 0.3, Price: 4.89, SpotPrice: 1.39, StartupS: 30, Zones: zones},
		},
		Capacity: map[Kind]int{
			{"chhoto-ghar", "kolkata-uttor", false}: 3, {"chhoto-ghar", "kolkata-uttor", true}: 4,
			{"chhoto-ghar", "siliguri", false}: 4, {"chhoto-ghar", "siliguri", true}: 4,
			{"chhoto-ghar", "durgapur", false}: 3, {"chhoto-ghar", "durgapur", true}: 3,
			{"chhoto-ghar", "sundarban", false}: 3, {"chhoto-ghar", "sundarban", true}: 4,
			{"boro-ghar", "kolkata-uttor", false}: 2, {"boro-ghar", "kolkata-uttor", true}: 2,
			{"boro-ghar", "durgapur", false}: 2, {"boro-ghar", "durgapur", true}: 2,
			{"boro-ghar", "sundarban", false}: 2, {"boro-ghar", "sundarban", true}: 2,
		},
		ReportS: 3, LeaseS: 45, CancelS: 70,
		State:    StateLimits{RPS: 200, WriteRPS: 25, ValueKB: 16, TxnOps: 16},
		CloudRPS: 4, ListLagS: 3, FetchGBs: 0.6,
		CPUShare: 0.3, MemoryMB: 451, Sockets: 3500,
	}
}

// Groenhof returns the first deployment of Groenhof.
func Groenhof() Site {
	zones := []string{"aalsmeer", "boskoop", "westland"}
	site := Site{
		Name:    "groenhof-wheatspur",
		Labels:  []string{"kheti-0", "kheti-1", "kheti-2"},
		Domains: []string{"westland", "westland", "westland"},
		Zones:   zones,
		Types: []wire.MachineType{
			{Label: "kasrek", CPUs: 96, GPUs: 8, RAMGB: 768, LocalGB: 120, FetchGBPerS: 0.2, Price: 27.46, SpotPrice: 6.52, StartupS: 60, Zones: zones},
		},
		Capacity: map[Kind]int{},
		ReportS:  3, LeaseS: 38, CancelS: 58,
		State:    StateLimits{RPS: 100, WriteRPS: 25, ValueKB: 4, TxnOps: 12},
		CloudRPS: 4, ListLagS: 4, FetchGBs: 0.2,
		CPUShare: 0.18, MemoryMB: 179, Sockets: 2000,
	}
	for _, name := range []string{"00", "01", "02", "03", "04", "05", "06", "07"} {
		site.Teams = append(site.Teams, Team{Name: "kasdienst-" + name, GPUs: 24, GPUsMax: 150})
	}
	for _, zone := range zones {
		site.Capacity[Kind{"kasrek", zone, false}], site.Capacity[Kind{"kasrek", zone, true}] = 10, 10
	}
	return site
}
