# Goodput and first-token time over a run, above the prompt:output ratio.
# Needs: rows, out, name.
set terminal pngcairo size 1000,700
set output out
set multiplot layout 3,1 title name
set xlabel ""
set grid
unset key
set yrange [0:1.05]
set ylabel "goodput by worth"
plot rows using 1:3 with lines lw 2
set yrange [0:*]
set ylabel "first token p95, ms"
plot rows using 1:4 with lines lw 2
set logscale y
set yrange [0.25:4]
set ylabel "prompt:output"
set xlabel "seconds"
plot rows using 1:5 with lines lw 2
unset multiplot
