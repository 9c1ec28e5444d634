package result

import (
	"maps"

	"google.golang.org/grpc/codes"
)

var infos = merge(
	map[Code]Info{OK: {"OK", 200, codes.OK, false, false, "The request was served."}},
	callerInfos, budgetInfos, operatorInfos, upstreamInfos, fleetInfos,
)

func merge(groups ...map[Code]Info) map[Code]Info {
	all := map[Code]Info{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}
