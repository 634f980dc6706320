# Tables and least-squares fits of scripts/measure-control.
#
# Input: rows of instances, of runs, and of changes, in this order, each with a
# head line. Output: "mean" lines of each size and phase with the spread over
# repeats, "fit" lines of y = a + b * instances with the standard error of both,
# and "change" lines.

function min(a, b) { return a < b ? a : b }
function max(a, b) { return a > b ? a : b }

# Adds one value of a run to what is fitted.
function Point(series, n, y,    k) {
  k = series SUBSEP n
  if (!(k in points)) {
    lowest[k] = highest[k] = y
    if (!(series in known)) {
      known[series] = 1
      order[++series_count] = series
    }
    sizes[n] = 1
  }
  points[k]++
  total[k] += y
  lowest[k] = min(lowest[k], y)
  highest[k] = max(highest[k], y)
  count[series]++
  sx[series] += n
  sxx[series] += n * n
  sy[series] += y
  sxy[series] += n * y
  syy[series] += y * y
}

function Fit(series,    n, d, a, b, r) {
  n = count[series]
  d = n * sxx[series] - sx[series] ^ 2
  if (n < 3 || d <= 0) {
    return
  }
  b = (n * sxy[series] - sx[series] * sy[series]) / d
  a = (sy[series] - b * sx[series]) / n
  r = syy[series] - a * sy[series] - b * sxy[series]
  r = max(r, 0) / (n - 2)
  printf "fit %-28s %.4g (%.2g) + %.4g (%.2g) x instances\n", series, a,
    sqrt(r * sxx[series] / d), b, sqrt(r * n / d)
}

FNR == 1 {
  file++
  for (i = 1; i <= NF; i++) name[file, i] = $i
  next
}

file == 1 {
  run = $3 SUBSEP $2 SUBSEP $1
  members[run]++
  for (i = 6; i <= 12; i++) {
    sum[run, i] += $i
    top[run, i] = members[run] == 1 ? $i : max(top[run, i], $i)
  }
  next
}

file == 2 {
  for (i = 4; i <= 9; i++) Point($3 "." name[2, i], $2, $i)
  next
}

file == 3 {
  made[$2]++
  if ($3 == "refused" || $6 < $2) {
    missing[$2]++
    next
  }
  taken[$2]++
  confirm_sum[$2] += $4
  confirm_top[$2] = max(confirm_top[$2], $4)
  spread_top[$2] = max(spread_top[$2], $5)
}

END {
  for (run in members) {
    split(run, part, SUBSEP)
    for (i = 6; i <= 12; i++) {
      Point(part[1] "." name[1, i], part[2], sum[run, i] / members[run])
      Point(part[1] "." name[1, i] ".max", part[2], top[run, i])
    }
  }
  n_sizes = 0
  for (n in sizes) ordered[++n_sizes] = n + 0
  for (i = 2; i <= n_sizes; i++)
    for (j = i; j > 1 && ordered[j - 1] > ordered[j]; j--) {
      swap = ordered[j]; ordered[j] = ordered[j - 1]; ordered[j - 1] = swap
    }
  for (s = 1; s <= series_count; s++) {
    series = order[s]
    for (i = 1; i <= n_sizes; i++) {
      k = series SUBSEP ordered[i]
      if (k in points)
        printf "mean %-28s %3d %10.4g (%.4g-%.4g)\n", series, ordered[i],
          total[k] / points[k], lowest[k], highest[k]
    }
  }
  for (s = 1; s <= series_count; s++) Fit(order[s])
  for (i = 1; i <= n_sizes; i++) {
    n = ordered[i]
    if (made[n])
      printf "change %3d instances: %d made, %d not in force everywhere, " \
        "from confirmation mean %.0f ms max %d ms, from first max %d ms\n", n,
        made[n], missing[n], taken[n] ? confirm_sum[n] / taken[n] : -1,
        confirm_top[n], spread_top[n]
  }
}
