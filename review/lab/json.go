package lab

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/settings"
)

func marshal(s settings.Settings) ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("lab: encode settings: %w", err)
	}
	return data, nil
}
